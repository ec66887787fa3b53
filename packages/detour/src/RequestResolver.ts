import type { Bytes, DomainId, RegionId } from '@papayahill/common'
import { domainRuleOf } from '@papayahill/directory'
import type { ActiveConfig, DomainRule, ServingRoute } from '@papayahill/directory'
import type { Offer } from './types.js'

/** A request's route and domains by the configuration of the instance that serves it. */
export interface ResolvedRequest {
  readonly route: ServingRoute
  readonly isAllowedIn: DomainRule
  readonly configVersion: number
  /** Largest body that a request may have. */
  readonly maxBody: Bytes
}

export interface RequestResolverOptions {
  readonly activeConfig: Pick<ActiveConfig, 'routes' | 'version'>
  readonly regionOf: (domain: DomainId) => RegionId | undefined
}

/**
 * Finds the route and workspace of an offered request in this instance's own configuration.
 *
 * @example
 * const resolved = resolver.resolve(offer)
 * if (typeof resolved === 'string') decline(resolved)
 */
export class RequestResolver {
  readonly #options: RequestResolverOptions

  constructor (options: RequestResolverOptions) {
    this.#options = options
  }

  /** The request's route and domains, or why they are not known here. */
  resolve ({ configVersion, host, route: name, workspace: id }: Pick<Offer, 'configVersion' | 'host' | 'route' | 'workspace'>): ResolvedRequest | string {
    const { activeConfig: { routes, version }, regionOf } = this.#options
    if (routes === undefined || version < configVersion) return `configuration ${version} is older than ${configVersion}`
    const route = routes.config.routes.find((one) => one.host === host && one.name === name)
    if (route === undefined) return `no route ${name} in configuration ${version}`
    const workspace = id === undefined ? undefined : [...routes.config.workspaces?.values() ?? []].find((one) => one.id === id)
    if (id !== undefined && workspace === undefined) return `no workspace ${id} in configuration ${version}`
    return { route, isAllowedIn: domainRuleOf(route, workspace, regionOf), configVersion: version, maxBody: routes.config.limits.bodyBytes }
  }
}

import type { ServingConfig, ServingRoute, Workspace } from './types.js'

/**
 * Routes of one configuration version, found by host and longest prefix.
 *
 * @example
 * new RouteTable(config).find('shop.example', '/orders/7')
 */
export class RouteTable {
  readonly config: ServingConfig
  readonly #byHost = new Map<string, readonly ServingRoute[]>()

  constructor (config: ServingConfig) {
    this.config = config
    for (const host of new Set(config.routes.map((route) => route.host))) {
      const routes = config.routes.filter((route) => route.host === host)
      this.#byHost.set(host, routes.sort((left, right) => right.prefix.length - left.prefix.length))
    }
  }

  find (host: string, path: string): ServingRoute | undefined {
    return this.#byHost.get(host)?.find((route) => path.startsWith(route.prefix))
  }

  /** The workspace that a request is accounted to; undefined where the route or deployment requires no key. */
  workspace (route: ServingRoute, key: string | undefined): Workspace | 'unknown-key' | undefined {
    const { workspaces } = this.config
    if (workspaces === undefined) return undefined
    const known = key === undefined ? undefined : workspaces.get(key)
    if (known !== undefined) return known
    return route.isPublic ? undefined : 'unknown-key'
  }
}

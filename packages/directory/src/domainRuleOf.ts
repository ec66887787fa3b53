import type { DomainId, RegionId } from '@papayahill/common'
import type { ServingRoute, Workspace } from './types.js'

/** Whether a request may be served in a failure domain. */
export type DomainRule = (domain: DomainId) => boolean

/**
 * The rule of a route and a workspace; where both name regions, both apply.
 *
 * @example
 * domainRuleOf(route, workspace, (domain) => regions.get(domain))('hall-1')
 */
export const domainRuleOf = (
  route: Pick<ServingRoute, 'regions'>, workspace: Pick<Workspace, 'regions'> | undefined, regionOf: (domain: DomainId) => RegionId | undefined
): DomainRule => {
  const regionLists = [route.regions, workspace?.regions ?? []].filter((regions) => regions.length > 0)
  return (domain) => {
    const region = regionOf(domain)
    return regionLists.every((regions) => region !== undefined && regions.includes(region))
  }
}

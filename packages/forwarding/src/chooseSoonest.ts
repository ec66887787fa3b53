import type { Random } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { EndpointPerformance } from '@papayahill/performance'
import { CROSS_DOMAIN_COST } from './constants.js'
import type { PlacementCriteria } from './types.js'

/**
 * The endpoint of a plain service at which a call is expected to end soonest, by what was learnt of its speed and by its
 * load. Ties are broken at random.
 *
 * @example
 * chooseSoonest(random, performance, { endpoints, exclude, prompt: undefined, domain, inputBytes, now })
 */
export const chooseSoonest = (
  random: Random, performance: EndpointPerformance, { endpoints, exclude, domain }: PlacementCriteria
): Endpoint | undefined => {
  let best: Endpoint | undefined
  let bestCost = Infinity
  for (const endpoint of endpoints) {
    if (exclude.has(endpoint.id)) continue
    const distance = domain === undefined || domain === endpoint.domain ? 0 : CROSS_DOMAIN_COST
    const load = performance.load(endpoint) + distance + random.next()
    const cost = performance.loadedFactor(endpoint, 'plain', load)
    if (cost < bestCost) [best, bestCost] = [endpoint, cost]
  }
  return best
}

import type { Random } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { EndpointPerformance } from '@papayahill/performance'
import { CROSS_DOMAIN_COST, FRESH_REPORT_AGE, MIN_CANDIDATES } from './constants.js'
import type { PlacementCriteria } from './types.js'

/**
 * Endpoints drawn at random, in proportion to the work that they take well. There are as many draws as endpoints whose load
 * was reported lately: instances that know little of the present load must not all choose the same endpoint.
 */
const drawCandidates = (
  random: Random, performance: EndpointPerformance, endpoints: readonly Endpoint[], now: number
): readonly Endpoint[] => {
  const fresh = endpoints.filter(({ load }) => load !== undefined && now - load.at <= FRESH_REPORT_AGE).length
  const draws = Math.max(MIN_CANDIDATES, fresh)
  if (draws >= endpoints.length) return endpoints
  const capacities = endpoints.map((endpoint) => performance.comfortableConcurrency(endpoint, 'plain') / performance.slowness(endpoint, 'plain'))
  const total = capacities.reduce((sum, capacity) => sum + capacity, 0)
  return Array.from({ length: draws }, () => {
    let left = random.next() * total
    return endpoints[capacities.findIndex((capacity) => (left -= capacity) < 0)] ?? endpoints[endpoints.length - 1]!
  })
}

/**
 * The endpoint of a plain service at which a call is expected to end soonest, by what was learnt of its speed and by its
 * load. Ties are broken at random.
 *
 * @example
 * chooseSoonest(random, performance, { endpoints, exclude, prompt: undefined, domain, inputBytes, now })
 */
export const chooseSoonest = (
  random: Random, performance: EndpointPerformance, { endpoints, exclude, domain, now }: PlacementCriteria
): Endpoint | undefined => {
  let best: Endpoint | undefined
  let bestCost = Infinity
  const allowed = exclude.size === 0 ? endpoints : endpoints.filter(({ id }) => !exclude.has(id))
  for (const endpoint of drawCandidates(random, performance, allowed, now)) {
    const distance = domain === undefined || domain === endpoint.domain ? 0 : CROSS_DOMAIN_COST
    const load = performance.load(endpoint) + distance + random.next()
    const cost = performance.loadedFactor(endpoint, 'plain', load)
    if (cost < bestCost) [best, bestCost] = [endpoint, cost]
  }
  return best
}

import type { Random } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { CROSS_DOMAIN_COST } from './constants.js'
import type { PlacementCriteria } from './types.js'

/** Age in milliseconds at which reported load counts half. */
const LOAD_HALF_LIFE = 150

/** Estimated load of an endpoint, from its last report and this instance's own calls. */
const estimatedLoad = (endpoint: Endpoint, now: number): number => {
  const { load, running } = endpoint
  if (load === undefined) return running
  const weight = 0.5 ** ((now - load.at) / LOAD_HALF_LIFE)
  return Math.max(running, (load.running + load.waiting) * weight)
}

/**
 * The least loaded endpoint of a plain service. Ties are broken at random, so that instances with the same view do not
 * all choose the same one.
 *
 * @example
 * chooseLeastLoaded(random, { endpoints, exclude, prompt: undefined, domain, inputBytes, now })
 */
export const chooseLeastLoaded = (random: Random, criteria: PlacementCriteria): Endpoint | undefined => {
  let best: Endpoint | undefined
  let bestCost = Infinity
  for (const endpoint of criteria.endpoints) {
    if (criteria.exclude.has(endpoint.id)) continue
    const isSameDomain = criteria.domain === undefined || criteria.domain === endpoint.domain
    const cost = estimatedLoad(endpoint, criteria.now) + (isSameDomain ? 0 : CROSS_DOMAIN_COST) + random.next()
    if (cost < bestCost) [best, bestCost] = [endpoint, cost]
  }
  return best
}

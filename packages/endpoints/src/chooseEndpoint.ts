import type { Random } from '@papayahill/common'
import type { EndpointEntry } from './EndpointEntry.js'
import type { PrefixIndex } from './PrefixIndex.js'
import type { VersionPool } from './ServicePool.js'

/** Endpoints with free capacity that are sampled for one choice. */
const PROBES = 8
/** How many of the usable ones among them are compared by load. */
const COMPARED = 2
/** Preferred endpoints of a prefix that are tried. */
const PREFERRED_ENDPOINTS = 3
/** A preferred endpoint is skipped if its load is above this many times the mean ... */
const MAX_RELATIVE_LOAD = 1.25
/** ... and above this share of its capacity. */
const MIN_LOAD_BOUND = 0.8

export interface EndpointChoice {
  readonly pool: VersionPool
  readonly prefix: string | undefined
  readonly prefixes: PrefixIndex
  readonly random: Random
  /** Mean load of the service's endpoints, as a share of their capacity. */
  readonly meanLoad: number
  readonly isUsable: (entry: EndpointEntry) => boolean
}

const leastLoaded = (entries: readonly EndpointEntry[]): EndpointEntry | undefined =>
  entries.reduce<EndpointEntry | undefined>((best, entry) =>
    best === undefined || entry.load() < best.load() ? entry : best, undefined)

const chooseFrom = (entries: readonly EndpointEntry[], choice: EndpointChoice): EndpointEntry | undefined =>
  leastLoaded(entries.filter(choice.isUsable).slice(0, COMPARED))

/** An endpoint that probably caches the prefix, else the first preferred one; never one that is far busier than the mean. */
const chooseByPrefix = (choice: EndpointChoice): EndpointEntry | undefined => {
  const { pool, prefix, prefixes, meanLoad, isUsable } = choice
  if (prefix === undefined) return undefined
  const bound = Math.max(MIN_LOAD_BOUND, meanLoad * MAX_RELATIVE_LOAD)
  const isSuitable = (entry: EndpointEntry | undefined): entry is EndpointEntry =>
    entry !== undefined && entry.load() <= bound && isUsable(entry)
  return prefixes.holders(prefix).map((id) => pool.entry(id)).find(isSuitable) ??
    pool.ring.preferredFor(prefix, PREFERRED_ENDPOINTS).map((id) => pool.entry(id)).find(isSuitable)
}

/**
 * Chooses the endpoint for one call, with a bounded number of probes whatever the number of endpoints: cold ones with a
 * free slot first, since only work warms them; then one that caches the prefix; then near before far, the less
 * loaded of two.
 *
 * @example
 * chooseEndpoint({ pool, prefix: undefined, prefixes, random, meanLoad, isUsable })
 */
export const chooseEndpoint = (choice: EndpointChoice): EndpointEntry | undefined => {
  const { pool, random } = choice
  const cold = chooseFrom(pool.cold.probe(random, PROBES), choice)
  if (cold !== undefined) return cold
  const byPrefix = chooseByPrefix(choice)
  if (byPrefix !== undefined) return byPrefix
  for (const endpoints of pool.warm) {
    const entry = chooseFrom(endpoints.probe(random, PROBES), choice)
    if (entry !== undefined) return entry
  }
  return undefined
}

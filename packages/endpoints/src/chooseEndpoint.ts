import type { Random } from '@papayahill/common'
import type { EndpointEntry } from './EndpointEntry.js'
import type { PrefixIndex } from './PrefixIndex.js'
import type { VersionPool } from './ServicePool.js'

/** Endpoints with room that are looked at before one is chosen. */
const PROBES = 8
/** Of these, how many are compared by load. */
const COMPARED = 2
/** Homes of a prefix that are tried. */
const HOMES = 3
/** A home is passed over when its load is above this many times the mean ... */
const LOAD_BOUND = 1.25
/** ... and above this share of what it bears. */
const LOAD_FREE = 0.8

export interface EndpointChoice {
  readonly pool: VersionPool
  readonly prefix: string | undefined
  readonly prefixes: PrefixIndex
  readonly random: Random
  /** Mean load of the service's endpoints, as shares of what they bear. */
  readonly meanLoad: number
  readonly isUsable: (entry: EndpointEntry) => boolean
}

const leastLoaded = (entries: readonly EndpointEntry[]): EndpointEntry | undefined =>
  entries.reduce<EndpointEntry | undefined>((best, entry) =>
    best === undefined || entry.load() < best.load() ? entry : best, undefined)

const chooseFrom = (entries: readonly EndpointEntry[], choice: EndpointChoice): EndpointEntry | undefined =>
  leastLoaded(entries.filter(choice.isUsable).slice(0, COMPARED))

/** Where the prefix probably is, else where every instance sends it first; never to one far busier than the mean. */
const chooseByPrefix = (choice: EndpointChoice): EndpointEntry | undefined => {
  const { pool, prefix, prefixes, meanLoad, isUsable } = choice
  if (prefix === undefined) return undefined
  const bound = Math.max(LOAD_FREE, meanLoad * LOAD_BOUND)
  const takes = (entry: EndpointEntry | undefined): entry is EndpointEntry =>
    entry !== undefined && entry.load() <= bound && isUsable(entry)
  return prefixes.holders(prefix).map((id) => pool.entry(id)).find(takes) ??
    pool.ring.homes(prefix, HOMES).map((id) => pool.entry(id)).find(takes)
}

/**
 * The endpoint for one call, in a bounded number of looks whatever the number of endpoints: cold ones with a
 * free slot first, since only work warms them; then one that holds the prefix; then near before far, the less
 * loaded of two.
 *
 * @example
 * chooseEndpoint({ pool, prefix: undefined, prefixes, random, meanLoad, isUsable })
 */
export const chooseEndpoint = (choice: EndpointChoice): EndpointEntry | undefined => {
  const { pool, random } = choice
  const cold = chooseFrom(pool.cold.probe(random, PROBES), choice)
  if (cold !== undefined) return cold
  const home = chooseByPrefix(choice)
  if (home !== undefined) return home
  for (const near of pool.warm) {
    const entry = chooseFrom(near.probe(random, PROBES), choice)
    if (entry !== undefined) return entry
  }
  return undefined
}

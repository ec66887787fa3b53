import type { EndpointId, Random } from '@papayahill/common'
import type { EndpointEntry } from './EndpointEntry.js'
import type { PrefixIndex } from './PrefixIndex.js'
import type { VersionPool } from './ServicePool.js'

/** Endpoints with room that are looked at before one is chosen. */
const PROBES = 8
/** Of these, how many are compared by load. */
const COMPARED = 2

export interface EndpointChoice {
  readonly pool: VersionPool
  readonly prefix: string | undefined
  readonly prefixes: PrefixIndex
  readonly random: Random
  readonly isUsable: (entry: EndpointEntry) => boolean
}

const leastLoaded = (entries: readonly EndpointEntry[]): EndpointEntry | undefined =>
  entries.reduce<EndpointEntry | undefined>((best, entry) =>
    best === undefined || entry.load() < best.load() ? entry : best, undefined)

const chooseFrom = (entries: readonly EndpointEntry[], choice: EndpointChoice): EndpointEntry | undefined =>
  leastLoaded(entries.filter(choice.isUsable).slice(0, COMPARED))

/**
 * The endpoint for one call, in a bounded number of looks whatever the number of endpoints: cold ones with a
 * free slot first, since only work warms them; then one that holds the prefix; then near before far, the less
 * loaded of two.
 *
 * @example
 * chooseEndpoint({ pool, prefix: undefined, prefixes, random, isUsable })
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

const chooseByPrefix = ({ pool, prefix, prefixes, isUsable }: EndpointChoice): EndpointEntry | undefined => {
  if (prefix === undefined) return undefined
  const homes: readonly EndpointId[] = prefixes.holders(prefix)
  return homes.map((id) => pool.entry(id)).find((entry) => entry !== undefined && isUsable(entry))
}

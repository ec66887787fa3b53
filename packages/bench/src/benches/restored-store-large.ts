import { measureRestores, restoreBounds } from '../restore/measureRestores.js'
import type { Bench } from '../types.js'

/** Max seeds by number of instances. */
const MAX_SEEDS: ReadonlyMap<number, number> = new Map([[200, 5], [420, 2]])

export const bench: Bench = {
  name: 'restored-store-large',
  about: 'The same as restored-store, with 200 and 420 instances',
  seeds: 5,
  ciSeeds: 0,
  bounds: restoreBounds(MAX_SEEDS.keys()),
  run: async (options) => ({ figures: await measureRestores(MAX_SEEDS, options), baselines: {} })
}

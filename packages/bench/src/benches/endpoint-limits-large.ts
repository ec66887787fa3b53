import { limitBounds, measureLimits } from '../limits/measureLimits.js'
import type { Bench } from '../types.js'

/** Max seeds by number of instances: a seed at 420 takes a minute. */
const MAX_SEEDS: ReadonlyMap<number, number> = new Map([[200, 7], [420, 3]])

export const bench: Bench = {
  name: 'endpoint-limits-large',
  about: 'The same as endpoint-limits, with 200 and 420 instances',
  seeds: 7,
  ciSeeds: 0,
  bounds: limitBounds(MAX_SEEDS.keys()),
  run: async (options) => ({ figures: await measureLimits(MAX_SEEDS, options), baselines: {} })
}

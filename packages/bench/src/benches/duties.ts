import { dutyBounds, measureDuties } from '../duties/measureDuties.js'
import type { Bench } from '../types.js'

/** Max seeds by number of instances. */
const MAX_SEEDS: ReadonlyMap<number, number> = new Map([[6, 40], [60, 20], [200, 5], [420, 3]])
/** The baseline runs at the smallest size, where its faults show as well. */
const BASELINE_SEEDS: ReadonlyMap<number, number> = new Map([[6, 10]])

export const bench: Bench = {
  name: 'duties',
  about: 'One holder of the duties at a time under faults of instances, clocks, links and the store, at 6 to 420 instances',
  seeds: 40,
  ciSeeds: 2,
  bounds: dutyBounds(MAX_SEEDS.keys()),
  baselinesMustMiss: { 'no check before the send': ['actsByTwoHoldersAt6', 'tokensBackAt6'] },
  run: async (options) => ({
    figures: await measureDuties(MAX_SEEDS, options),
    baselines: { 'no check before the send': await measureDuties(BASELINE_SEEDS, options, false) }
  })
}

import { BASELINES, measureRestores, restoreBounds } from '../restore/measureRestores.js'
import type { Bench, Figures } from '../types.js'

/** Max seeds by number of instances. */
const MAX_SEEDS: ReadonlyMap<number, number> = new Map([[6, 60], [60, 10]])
/** Baselines run at the smallest size, where their faults show as well. */
const BASELINE_SEEDS: ReadonlyMap<number, number> = new Map([[6, 10]])

export const bench: Bench = {
  name: 'restored-store',
  about: 'A store that comes back from older copies, beside cuts, refusals, restarts and joins: what instances have in force, and the cost',
  seeds: 60,
  ciSeeds: 5,
  bounds: restoreBounds(MAX_SEEDS.keys()),
  baselinesMustMiss: { 'revisions alone': ['notFollowingAt6', 'slowestInForceMsAt6'], 'copy thrown away': ['olderInForceAt6'] },
  run: async (options) => {
    const figures = await measureRestores(MAX_SEEDS, options)
    const baselines: Record<string, Figures> = {}
    for (const [name, baseline] of Object.entries(BASELINES)) baselines[name] = await measureRestores(BASELINE_SEEDS, options, baseline)
    return { figures, baselines }
  }
}

import { ColdRun } from '../load/ColdRun.js'
import type { ColdFigures, ColdPolicy } from '../load/ColdRun.js'
import { coldScenario } from '../load/coldScenario.js'
import type { Bench, BenchOptions, Figures } from '../types.js'

/** Seeds per seed of a baseline, whose failure shows in few. */
const BASELINE_SHARE = 10
/** Seeds per seed of the run without the freshness rule. */
const STALE_SHARE = 3

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

const runAll = async (policy: ColdPolicy, { seed, seeds }: BenchOptions): Promise<readonly ColdFigures[]> => {
  const runs: ColdFigures[] = []
  for (let each = seed; each < seed + seeds; each++) runs.push(await new ColdRun(coldScenario(each), policy).run())
  return runs
}

const figuresOf = (runs: readonly ColdFigures[], ideal: readonly ColdFigures[]): Figures => ({
  overBorne: sum(runs.map((run) => run.overBorne)),
  overBorneSilent: sum(runs.map((run) => run.overBorneSilent)),
  idealOverBorne: sum(ideal.map((run) => run.overBorne)),
  idealOverBorneSilent: sum(ideal.map((run) => run.overBorneSilent)),
  warmTimeRatio: sum(runs.flatMap((run) => run.warmTimes)) / sum(ideal.flatMap((run) => run.warmTimes)),
  restarts: runs.flatMap((run) => run.warmTimes).length,
  calls: sum(runs.map((run) => run.calls))
})

export const bench: Bench = {
  name: 'cold-start',
  about: 'Work above what cold endpoints bear, and the time until they are warm',
  seeds: 300,
  ciSeeds: 40,
  bounds: {
    overBorne: { max: 0 },
    overBorneSilent: { max: 0 },
    warmTimeRatio: { max: 1.5 }
  },
  baselinesMustMiss: { roundRobin: ['overBorne'], leastInFlight: ['overBorne'] },
  run: async (options) => {
    const some = { seed: options.seed, seeds: Math.max(1, Math.floor(options.seeds / STALE_SHARE)) }
    const few = { seed: options.seed, seeds: Math.max(1, Math.floor(options.seeds / BASELINE_SHARE)) }
    const ideal = await runAll('ideal', options)
    const idealFew = ideal.slice(0, few.seeds)
    return {
      figures: figuresOf(await runAll('papayahill', options), ideal),
      baselines: {
        roundRobin: figuresOf(await runAll('roundRobin', few), idealFew),
        leastInFlight: figuresOf(await runAll('leastInFlight', few), idealFew),
        staleRoster: figuresOf(await runAll('staleRoster', some), ideal.slice(0, some.seeds))
      }
    }
  }
}

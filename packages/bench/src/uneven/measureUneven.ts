import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { BenchOptions, Figures } from '../types.js'
import type { UnevenPolicy } from './newInstance.js'
import { runUneven, SETTLE_TIME, WINDOW } from './UnevenRun.js'
import type { UnevenFigures } from './UnevenRun.js'

/** Endpoints by number of instances. */
export const UNEVEN_SIZES: ReadonlyMap<number, number> = new Map([[6, 12], [60, 24], [200, 40], [420, 60]])
/** Runs by number of instances, at most; the larger ones take most of the time. */
const MAX_SEEDS: ReadonlyMap<number, number> = new Map([[6, 8], [60, 4], [200, 2], [420, 1]])
/** Part of the share in time after settling that a window must reach to count as settled. */
const SETTLED_SHARE = 0.95

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)

/** Time after the change from which the windows within twice the allowed time stay at the share of the later ones. */
const settledAfter = (windows: readonly number[]): number => {
  const allowed = Math.ceil(SETTLE_TIME / WINDOW)
  const usual = mean(windows.slice(2 * allowed))
  const last = windows.slice(0, 2 * allowed).findLastIndex((share) => share < usual * SETTLED_SHARE)
  return millis((last + 1) * WINDOW)
}

const runAll = async (
  policy: UnevenPolicy, instances: number, servers: number, { seed, seeds }: BenchOptions
): Promise<UnevenFigures[]> => {
  const runs: UnevenFigures[] = []
  const count = Math.min(seeds, MAX_SEEDS.get(instances) ?? 1)
  for (let each = seed; each < seed + count; each++) runs.push(await runUneven(each, instances, servers, policy))
  return runs
}

const meanWindows = (runs: readonly UnevenFigures[]): readonly number[] =>
  runs[0]!.windows.map((_share, at) => mean(runs.map(({ windows }) => windows[at]!)))

/**
 * Figures of a policy at each size, relative to one dispatcher that knows all. Nothing is sent between the instances, so that
 * the bytes of an instance are 0.
 */
export const measureUneven = async (policies: readonly UnevenPolicy[], options: BenchOptions): Promise<readonly Figures[]> => {
  const figures = policies.map((): Record<string, number> => ({}))
  for (const [instances, servers] of UNEVEN_SIZES) {
    const best = mean((await runAll('all-knowing', instances, servers, options)).map(({ inTime }) => inTime))
    for (const [at, policy] of policies.entries()) {
      const runs = await runAll(policy, instances, servers, options)
      const found = figures[at]!
      found[`inTimeOfBestAt${instances}`] = mean(runs.map(({ inTime }) => inTime)) / best
      found[`busiestOfFairAt${instances}`] = mean(runs.map(({ busiest }) => busiest))
      found[`settledSecondsAt${instances}`] = settledAfter(meanWindows(runs)) / MILLIS_PER_SECOND
    }
  }
  return figures
}

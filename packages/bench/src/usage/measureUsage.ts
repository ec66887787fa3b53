import { playFault, USAGE_FAULTS } from '@papayahill/usage'
import type { PlayedFault, UsageFault, UsageFaultName } from '@papayahill/usage'
import type { Bench, BenchOptions, Bound, Figures } from '../types.js'

/** A deployment that faults are played in. */
export interface UsageSize {
  readonly instances: number
  readonly faults: readonly UsageFaultName[]
  readonly maxSeeds: number
}

export const ALL_FAULTS = Object.keys(USAGE_FAULTS) as readonly UsageFaultName[]

const REQUESTS_PER_INSTANCE = 150
const MAX_REQUESTS_PER_SECOND = 4000
const WORKSPACES = 6

/**
 * Requirements: U1, U2 and U3, U4, and what an instance may send on the topic `report`; store calls are a write for each window, and
 * reads when the holder changes.
 */
const BOUNDS = {
  contradicted: { max: 0 },
  missing: { max: 0 },
  worstError: { max: 0.05 },
  inTimeShare: { min: 0.99 },
  meanBytesPerSecond: { max: 400 },
  mostBytesPerSecond: { max: 3072 },
  storeCallsPerSecond: { max: 1 }
} as const satisfies Readonly<Record<string, Bound>>

export const usageBounds = (sizes: readonly UsageSize[]): Bench['bounds'] =>
  Object.fromEntries(sizes.flatMap(({ instances }) =>
    Object.entries(BOUNDS).map(([name, bound]) => [`${name}At${instances}`, bound])))

interface Totals {
  contradicted: number
  missing: number
  worstError: number
  worstErrorOfCut: number
  slowestMs: number
  due: number
  inTime: number
  meanBytesPerSecond: number
  mostBytesPerSecond: number
  /** Without a bound here: news of many deaths at once take most of it, which belong to the links between instances. */
  mostBytesOfAllTopics: number
  storeCallsPerSecond: number
}

const noTotals = (): Totals => ({
  contradicted: 0,
  missing: 0,
  worstError: 0,
  worstErrorOfCut: 0,
  slowestMs: 0,
  due: 0,
  inTime: 0,
  meanBytesPerSecond: 0,
  mostBytesPerSecond: 0,
  mostBytesOfAllTopics: 0,
  storeCallsPerSecond: 0
})

/** Adds a run; counts that could not arrive in time, since their instance reached no other, are no error of a report. */
const addRun = (totals: Totals, { judgement, ...run }: PlayedFault, losesCounts: boolean): void => {
  totals.contradicted += judgement.contradicted
  totals.missing += judgement.missing
  if (losesCounts) totals.worstErrorOfCut = Math.max(totals.worstErrorOfCut, judgement.worstError)
  else totals.worstError = Math.max(totals.worstError, judgement.worstError)
  totals.slowestMs = Math.max(totals.slowestMs, judgement.slowest)
  totals.due += judgement.due
  totals.inTime += judgement.inTime
  totals.meanBytesPerSecond = Math.max(totals.meanBytesPerSecond, run.meanBytes)
  totals.mostBytesPerSecond = Math.max(totals.mostBytesPerSecond, run.mostBytes)
  totals.mostBytesOfAllTopics = Math.max(totals.mostBytesOfAllTopics, run.mostBytesOfAllTopics)
  totals.storeCallsPerSecond = Math.max(totals.storeCallsPerSecond, run.storeCalls)
}

const measureSize = async (
  { instances, faults, maxSeeds }: UsageSize, { seed, seeds }: BenchOptions, isAlone: boolean
): Promise<Totals> => {
  const totals = noTotals()
  const requestsPerSecond = Math.min(MAX_REQUESTS_PER_SECOND, instances * REQUESTS_PER_INSTANCE)
  for (let at = seed; at < seed + Math.min(seeds, maxSeeds); at++) {
    for (const name of faults) {
      const { losesCounts = false }: UsageFault = USAGE_FAULTS[name]
      addRun(totals, await playFault(name, { instances, seed: at, requestsPerSecond, workspaces: WORKSPACES, isAlone }), losesCounts)
    }
  }
  return totals
}

/** Plays the faults; `isAlone` is the baseline in which holders share neither rows nor copies nor what they have collected. */
export const measureUsage = async (sizes: readonly UsageSize[], options: BenchOptions, isAlone = false): Promise<Figures> => {
  const figures: Record<string, number> = {}
  for (const size of sizes) {
    const { due, inTime, ...totals } = await measureSize(size, options, isAlone)
    const named = { ...totals, inTimeShare: inTime / due }
    for (const [name, value] of Object.entries(named)) figures[`${name}At${size.instances}`] = value
  }
  return figures
}

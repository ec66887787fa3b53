import { measureDecision } from '../load/decideRig.js'
import type { DecideFigures, DecideSize } from '../load/decideRig.js'
import type { Bench, Figures } from '../types.js'

const TODAY: DecideSize = { endpoints: 28, services: 5, domains: 4, instances: 9, workspaces: 5 }
const TWO_YEARS: DecideSize = { endpoints: 600, services: 15, domains: 5, instances: 420, workspaces: 12_000 }
/** All 600 endpoints at one instance, as few instances before many endpoints would have. */
const ALL_AT_ONE: DecideSize = { ...TWO_YEARS, instances: 9 }

/** Sizes are measured in turn, several times, and the fastest round counts: other work on the machine only adds time. */
const ROUNDS = 5

const fastest = (rounds: readonly DecideFigures[]): DecideFigures => ({
  microseconds: Math.min(...rounds.map(({ microseconds }) => microseconds)),
  heapBytes: Math.min(...rounds.map(({ heapBytes }) => heapBytes)),
  grantedShare: Math.min(...rounds.map(({ grantedShare }) => grantedShare))
})

const measureInTurn = async (sizes: readonly DecideSize[], isScanning: boolean): Promise<readonly DecideFigures[]> => {
  const costs: DecideFigures[][] = sizes.map(() => [])
  for (let round = 0; round < ROUNDS; round++) {
    for (const [at, size] of sizes.entries()) costs[at]!.push(await measureDecision(size, isScanning))
  }
  return costs.map(fastest)
}

const figuresOf = async (isScanning: boolean): Promise<Figures> => {
  const costs = await measureInTurn([TODAY, TWO_YEARS, ALL_AT_ONE], isScanning)
  const [today, later, allAtOne] = costs as [DecideFigures, DecideFigures, DecideFigures]
  return {
    microsecondsPerDecision28: today.microseconds,
    microsecondsPerDecision600: later.microseconds,
    microsecondsPerDecision600AllAtOne: allAtOne.microseconds,
    growthRatio: later.microseconds / today.microseconds,
    growthRatioAllAtOne: allAtOne.microseconds / today.microseconds,
    grantedShare: Math.min(today.grantedShare, later.grantedShare, allAtOne.grantedShare),
    heapBytes28: today.heapBytes,
    heapBytes600: later.heapBytes,
    heapBytes600AllAtOne: allAtOne.heapBytes
  }
}

export const bench: Bench = {
  name: 'decide',
  about: 'Time and memory of one routing decision at 28 and at 600 endpoints',
  seeds: 1,
  ciSeeds: 1,
  bounds: { growthRatio: { max: 2 }, growthRatioAllAtOne: { max: 2 }, grantedShare: { min: 1 } },
  baselinesMustMiss: { scan: ['growthRatio', 'growthRatioAllAtOne'] },
  run: async () => ({ figures: await figuresOf(false), baselines: { scan: await figuresOf(true) } })
}

import type { BenchOptions, Bound, Figures } from '../types.js'
import { DutyScenario } from './DutyScenario.js'
import type { DutyFigures } from './DutyScenario.js'

/**
 * One write in half a lease of 3 s: 21 in the 30 s that are counted, by a clock that is 5% fast, and one more where they
 * begin with a write. Any store call of another instance exceeds it.
 */
const MAX_QUIET_CALLS = 22.5 / 30
/** "About a second" after the store is back, and after a planned stop, whose permitted calls may take half a second. */
const MAX_TAKEOVER_MS = 1500
/** The lease, the margins of its candidates on a slow clock, and a second. */
const MAX_KILL_MS = 5000
/** Constant in the number of instances, beside the chance of each run. */
const MAX_GROWTH = 1.25

export const dutyBounds = (sizes: Iterable<number>): Readonly<Record<string, Bound>> => Object.fromEntries([
  ...[...sizes].flatMap((size) => [
    [`actsByTwoHoldersAt${size}`, { max: 0 }],
    [`tokensBackAt${size}`, { max: 0 }],
    [`quietCallsPerSecondAt${size}`, { max: MAX_QUIET_CALLS }],
    [`killMsAt${size}`, { max: MAX_KILL_MS }],
    [`stopMsAt${size}`, { max: MAX_TAKEOVER_MS }],
    [`outageMsAt${size}`, { max: MAX_TAKEOVER_MS }]
  ] as const),
  ['callsGrowth', { max: MAX_GROWTH }],
  ['outageCallsGrowth', { max: MAX_GROWTH }]
])

/** Sums what must not happen at all, and takes the worst of everything else. */
const worse = (left: DutyFigures | undefined, right: DutyFigures): DutyFigures => left === undefined
  ? right
  : {
      actsByTwoHolders: left.actsByTwoHolders + right.actsByTwoHolders,
      tokensBack: left.tokensBack + right.tokensBack,
      quietCallsPerSecond: Math.max(left.quietCallsPerSecond, right.quietCallsPerSecond),
      outageCallsPerSecond: Math.max(left.outageCallsPerSecond, right.outageCallsPerSecond),
      callsPerSecond: Math.max(left.callsPerSecond, right.callsPerSecond),
      killMs: Math.max(left.killMs, right.killMs),
      stopMs: Math.max(left.stopMs, right.stopMs),
      outageMs: Math.max(left.outageMs, right.outageMs)
    }

/** Runs the scenario at each size, with at most the given number of seeds. */
export const measureDuties = async (
  maxSeeds: ReadonlyMap<number, number>, { seed, seeds }: BenchOptions, checksBeforeSend = true
): Promise<Figures> => {
  const figures: Record<string, number> = {}
  const worst: DutyFigures[] = []
  for (const [size, most] of maxSeeds) {
    let sum: DutyFigures | undefined
    for (let at = seed; at < seed + Math.min(seeds, most); at++) sum = worse(sum, await new DutyScenario(size, at, checksBeforeSend).run())
    if (sum === undefined) continue
    worst.push(sum)
    for (const [name, value] of Object.entries(sum)) figures[`${name}At${size}`] = value
  }
  const growth = (of: (one: DutyFigures) => number): number => Math.max(...worst.map(of)) / of(worst[0]!)
  figures.callsGrowth = growth(({ callsPerSecond }) => callsPerSecond)
  figures.outageCallsGrowth = growth(({ outageCallsPerSecond }) => outageCallsPerSecond)
  return figures
}

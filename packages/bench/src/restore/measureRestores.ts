import { millis } from '@papayahill/common'
import type { TableHarnessOptions } from '@papayahill/directory'
import type { BenchOptions, Bound, Figures } from '../types.js'
import { RestoreScenario } from './RestoreScenario.js'
import type { RestoreFigures } from './RestoreScenario.js'

/** Max time until an acknowledged change is in force at all instances in touch. */
const MAX_IN_FORCE_MS = 3000
/** Read calls of all instances that the store allows in a second. */
const READS_PER_SECOND = 2000
const MAX_BYTES_PER_SECOND = 3072

/** Simpler ways to treat a restored store, by name. */
export const BASELINES: Readonly<Record<string, TableHarnessOptions>> = {
  'revisions alone': { namesEra: false },
  'copy thrown away': { retention: { rowTime: millis(0), removalTime: millis(0) } }
}

export const restoreBounds = (sizes: Iterable<number>): Readonly<Record<string, Bound>> => Object.fromEntries([...sizes].flatMap((size) => [
  [`olderInForceAt${size}`, { max: 0 }],
  [`slowestInForceMsAt${size}`, { max: MAX_IN_FORCE_MS }],
  [`notFollowingAt${size}`, { max: 0 }],
  [`callsPerSecondAtReturnAt${size}`, { max: READS_PER_SECOND }],
  [`bytesPerInstanceSecondAt${size}`, { max: MAX_BYTES_PER_SECOND }]
]))

const NONE: RestoreFigures = {
  olderInForce: 0, slowestInForceMs: millis(0), notFollowing: 0, callsPerSecondAtReturn: 0, bytesPerInstanceSecond: 0
}

/** Sums what must not happen at all, and takes the worst of everything else. */
const worse = (left: RestoreFigures, right: RestoreFigures): RestoreFigures => ({
  olderInForce: left.olderInForce + right.olderInForce,
  slowestInForceMs: millis(Math.max(left.slowestInForceMs, right.slowestInForceMs)),
  notFollowing: left.notFollowing + right.notFollowing,
  callsPerSecondAtReturn: Math.max(left.callsPerSecondAtReturn, right.callsPerSecondAtReturn),
  bytesPerInstanceSecond: Math.max(left.bytesPerInstanceSecond, right.bytesPerInstanceSecond)
})

/** Runs the scenario at each size, with at most the given number of seeds. */
export const measureRestores = async (
  maxSeeds: ReadonlyMap<number, number>, { seed, seeds }: BenchOptions, options: TableHarnessOptions = {}
): Promise<Figures> => {
  const figures: Record<string, number> = {}
  for (const [size, most] of maxSeeds) {
    let sum = NONE
    for (let at = seed; at < seed + Math.min(seeds, most); at++) sum = worse(sum, await new RestoreScenario(size, at, options).run())
    for (const [name, value] of Object.entries(sum)) figures[`${name}At${size}`] = value
  }
  return figures
}

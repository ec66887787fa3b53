import { MILLIS_PER_SECOND, millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { HOLD_WEIGHT, RATE_WINDOW } from './constants.js'
import type { LoadSample } from './types.js'

export interface Demand {
  /** Concurrency that callers need, in calls. */
  readonly calls: number
  /** Requests that wait. */
  readonly waiting: number
  readonly refusedPerSecond: number
  /** Hold time of a call while the endpoints are not crowded; 0 if unknown. */
  readonly usualHold: Millis
}

const sumOf = (samples: readonly LoadSample[], valueOf: (sample: LoadSample) => number): number =>
  samples.reduce((sum, sample) => sum + valueOf(sample), 0)

/** Mean hold time of the samples' calls. */
const meanHold = (samples: readonly LoadSample[]): number => {
  const weightOf = (sample: LoadSample): number => sample.holdTime > 0 ? sample.begunPerSecond : 0
  const weight = sumOf(samples, weightOf)
  return weight === 0 ? 0 : sumOf(samples, (sample) => weightOf(sample) * sample.holdTime) / weight
}

/** A crowded endpoint holds calls longer; that time must not count as demand, so it changes the usual one only while there is room. */
const nextUsualHold = (usual: Millis, measured: number, isCrowded: boolean): Millis => {
  if (measured === 0) return usual
  if (usual === 0) return millis(measured)
  return isCrowded && measured > usual ? usual : millis(usual + HOLD_WEIGHT * (measured - usual))
}

/**
 * The concurrency that callers need, from two measures: the calls that run or wait now, and by Little's law the requests
 * that come in a second times the time that each holds a slot. The rates are averaged over a window, the present counts in
 * effect over the hold time; each measure is weighted by its time, since a longer one leaves less to chance.
 *
 * @example
 * const { calls } = estimateDemand(samples, usualHold, capacity)
 */
export const estimateDemand = (samples: readonly LoadSample[], usualHold: Millis, capacity: number): Demand => {
  const running = sumOf(samples, (sample) => sample.running)
  const waiting = sumOf(samples, (sample) => sample.waiting)
  const refusedPerSecond = sumOf(samples, (sample) => sample.refusedPerSecond)
  const begunPerSecond = sumOf(samples, (sample) => sample.begunPerSecond)
  const isCrowded = waiting > 0 || refusedPerSecond > 0 || running > capacity
  const measured = meanHold(samples)
  const usual = nextUsualHold(usualHold, measured, isCrowded)
  const hold = isCrowded ? Math.min(measured, usual) : measured
  const inflation = hold > 0 ? Math.max(1, measured / hold) : 1
  const byRate = (begunPerSecond + refusedPerSecond) * hold / MILLIS_PER_SECOND
  const byCount = running / inflation + waiting + refusedPerSecond * hold / MILLIS_PER_SECOND
  const calls = hold === 0 ? byCount : (RATE_WINDOW * byRate + hold * byCount) / (RATE_WINDOW + hold)
  return { calls, waiting, refusedPerSecond, usualHold: usual }
}

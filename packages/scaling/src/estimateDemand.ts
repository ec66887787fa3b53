import { MILLIS_PER_SECOND, millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { MAX_UTILISATION, RATE_WINDOW } from './constants.js'
import { addHold, holdAt } from './holdFit.js'
import type { HoldFit } from './holdFit.js'
import type { LoadSample } from './types.js'

export interface Demand {
  /** Concurrency that callers need, in calls, at endpoints that are used as planned. */
  readonly calls: number
  /** Requests wait or are refused. */
  readonly isCrowded: boolean
  readonly holdFit: HoldFit
}

const sumOf = (samples: readonly LoadSample[], valueOf: (sample: LoadSample) => number): number =>
  samples.reduce((sum, sample) => sum + valueOf(sample), 0)

/** Mean hold time of the samples' calls; 0 if unknown. */
const meanHold = (samples: readonly LoadSample[]): Millis => {
  const weightOf = (sample: LoadSample): number => sample.holdTime > 0 ? sample.begunPerSecond : 0
  const weight = sumOf(samples, weightOf)
  return millis(weight === 0 ? 0 : sumOf(samples, (sample) => weightOf(sample) * sample.holdTime) / weight)
}

/**
 * The concurrency that callers need, from two measures: the calls that run now, and by Little's law the requests that come
 * in a second times the time that each holds a slot. The rates are averaged over a window, the present count in effect
 * over the hold time; each measure is weighted by its time, since a longer one leaves less to chance. Where requests wait
 * or are refused, the calls that run show what the endpoints take, and only the requests that come show what is needed.
 * The newest of them count in full then, since each second until an order costs callers, and with the hold time as it is:
 * crowded endpoints stay slow until there are enough for it.
 *
 * @example
 * const { calls } = estimateDemand(samples, history.holdFit, capacity)
 */
export const estimateDemand = (samples: readonly LoadSample[], fit: HoldFit, capacity: number): Demand => {
  const running = sumOf(samples, (sample) => sample.running)
  const waiting = sumOf(samples, (sample) => sample.waiting)
  const isCrowded = waiting > 0 || sumOf(samples, (sample) => sample.refusedPerSecond) >= 1
  const measured = meanHold(samples)
  const holdFit = measured > 0 && capacity > 0 ? addHold(fit, running / capacity, measured) : fit
  const hold = holdAt(holdFit, MAX_UTILISATION)
  if (hold === undefined) return { calls: running + waiting, isCrowded, holdFit }
  const byRate = sumOf(samples, (sample) => sample.arrivedPerSecond) * hold / MILLIS_PER_SECOND
  const byCount = measured > 0 ? running * hold / measured : running
  const mixed = (RATE_WINDOW * byRate + hold * byCount) / (RATE_WINDOW + hold)
  const newest = sumOf(samples, (sample) => sample.newestPerSecond) * Math.max(hold, measured) / MILLIS_PER_SECOND
  return { calls: isCrowded ? Math.max(newest, mixed) : mixed, isCrowded, holdFit }
}

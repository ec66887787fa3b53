import { MILLIS_PER_SECOND, millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { MAX_UTILISATION, MIN_REFUSED_PER_SECOND, RATE_WINDOW, TOLERATED_SHARE } from './constants.js'
import { addHold, holdAt } from './holdFit.js'
import type { HoldFit } from './holdFit.js'
import type { LoadSample } from './types.js'

export interface Demand {
  /** Concurrency that callers need, in calls, at endpoints that are used as planned. */
  readonly calls: number
  /** More requests wait or are refused than chance explains. */
  readonly isCrowded: boolean
  readonly holdFit: HoldFit
}

/** Sums of all samples of a service. */
interface LoadTotals {
  readonly running: number
  readonly waiting: number
  readonly refusedPerSecond: number
  readonly arrivedPerSecond: number
  readonly newestPerSecond: number
  /** Mean hold time of the calls; 0 if unknown. */
  readonly holdTime: Millis
}

/** Adds up the samples in one pass: there are several hundred in each plan of a large deployment. */
const totalsOf = (samples: readonly LoadSample[]): LoadTotals => {
  const totals = { running: 0, waiting: 0, refusedPerSecond: 0, arrivedPerSecond: 0, newestPerSecond: 0 }
  let [weight, weighted] = [0, 0]
  for (const sample of samples) {
    totals.running += sample.running
    totals.waiting += sample.waiting
    totals.refusedPerSecond += sample.refusedPerSecond
    totals.arrivedPerSecond += sample.arrivedPerSecond
    totals.newestPerSecond += sample.newestPerSecond
    if (sample.holdTime === 0) continue
    weight += sample.begunPerSecond
    weighted += sample.begunPerSecond * sample.holdTime
  }
  return { ...totals, holdTime: millis(weight === 0 ? 0 : weighted / weight) }
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
  const { running, waiting, refusedPerSecond, arrivedPerSecond, newestPerSecond, holdTime } = totalsOf(samples)
  const toleratedRefusals = Math.max(MIN_REFUSED_PER_SECOND, arrivedPerSecond * TOLERATED_SHARE)
  const isCrowded = waiting > running * TOLERATED_SHARE || refusedPerSecond > toleratedRefusals
  const holdFit = holdTime > 0 && capacity > 0 ? addHold(fit, running / capacity, holdTime) : fit
  const hold = holdAt(holdFit, MAX_UTILISATION)
  if (hold === undefined) return { calls: running + waiting, isCrowded, holdFit }
  const byRate = arrivedPerSecond * hold / MILLIS_PER_SECOND
  const byCount = holdTime > 0 ? running * hold / holdTime : running
  const mixed = (RATE_WINDOW * byRate + hold * byCount) / (RATE_WINDOW + hold)
  const newest = newestPerSecond * Math.max(hold, holdTime) / MILLIS_PER_SECOND
  return { calls: isCrowded ? Math.max(newest, mixed) : mixed, isCrowded, holdFit }
}

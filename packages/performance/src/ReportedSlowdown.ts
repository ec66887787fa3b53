import type { Millis } from '@papayahill/common'
import { MAX_SLOWDOWN, MIN_SLOWDOWN, SLOWDOWN_MEAN_TIME_CONSTANT, SLOWDOWN_PERIOD } from './constants.js'

/**
 * The momentary slowdown that an endpoint reports. The newest report counts in full when it arrives and fades linearly to
 * the mean of its reports: a spell of slowness that lasts a period, and is seen at a random time in it, goes on with a
 * probability that falls linearly. The mean rather than 1 is the target, so that it does not matter whether an endpoint
 * counts its lasting slowness in.
 *
 * @example
 * const slowdown = new ReportedSlowdown()
 * slowdown.report(2.5, now)
 * slowdown.at(now) // 2.5
 */
export class ReportedSlowdown {
  #latest = 0
  #mean = 0
  #reportedAt: Millis | undefined

  /** Records a report, 1 as usual. */
  report (slowdown: number, now: Millis): void {
    const value = Math.log(Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown)))
    // A report speaks for one period at most, however long ago the one before it was.
    const span = this.#reportedAt === undefined ? 0 : Math.min(SLOWDOWN_PERIOD, now - this.#reportedAt)
    this.#mean += (1 - Math.exp(-span / SLOWDOWN_MEAN_TIME_CONSTANT)) * (value - this.#mean)
    this.#latest = value
    this.#reportedAt = now
  }

  /** The expected slowdown at a time. */
  at (now: Millis): number {
    if (this.#reportedAt === undefined) return 1
    const weight = Math.max(0, 1 - (now - this.#reportedAt) / SLOWDOWN_PERIOD)
    return Math.exp(this.#mean + weight * (this.#latest - this.#mean))
  }
}

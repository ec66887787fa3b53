import type { Clock, Millis } from '@papayahill/common'
import { RECENT_SPAN } from './constants.js'

/**
 * Estimates the average number of concurrent calls to a service from this instance by Little's law: an exponentially
 * decaying sum of call durations divided by the decay span.
 *
 * @example
 * estimator.count(record.took)
 * estimator.estimate()
 */
export class ConcurrencyEstimator {
  readonly #clock: Clock
  #callTime = 0
  #decayedAt: Millis

  constructor (clock: Clock) {
    this.#clock = clock
    this.#decayedAt = clock.now()
  }

  count (took: Millis): void {
    this.#decay()
    this.#callTime += took
  }

  estimate (): number {
    this.#decay()
    return this.#callTime / RECENT_SPAN
  }

  #decay (): void {
    const now = this.#clock.now()
    this.#callTime *= Math.exp((this.#decayedAt - now) / RECENT_SPAN)
    this.#decayedAt = now
  }
}

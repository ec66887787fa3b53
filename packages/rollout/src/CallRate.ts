import type { Clock, Millis } from '@papayahill/common'
import { RECENT_SPAN } from './constants.js'

/**
 * How many calls of a service this instance has under way on average: the sum of recent call times over
 * the time they took place in (Little's law).
 *
 * @example
 * rate.count(record.took)
 * rate.concurrency()
 */
export class CallRate {
  readonly #clock: Clock
  #busy = 0
  #at: Millis

  constructor (clock: Clock) {
    this.#clock = clock
    this.#at = clock.now()
  }

  count (took: Millis): void {
    this.#forget()
    this.#busy += took
  }

  concurrency (): number {
    this.#forget()
    return this.#busy / RECENT_SPAN
  }

  #forget (): void {
    const now = this.#clock.now()
    this.#busy *= Math.exp((this.#at - now) / RECENT_SPAN)
    this.#at = now
  }
}

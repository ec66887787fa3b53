import type { Millis } from '@papayahill/common'

/**
 * A count that decays exponentially with a time constant, for rates and shares.
 *
 * @example
 * const arrivals = new DecayingCount(millis(3000))
 * arrivals.add(clock.now())
 * arrivals.perMilli(clock.now())
 */
export class DecayingCount {
  readonly #window: Millis
  #value = 0
  #at = 0

  constructor (window: Millis) {
    this.#window = window
  }

  add (now: Millis, amount = 1): void {
    this.#value = this.value(now) + amount
    this.#at = now
  }

  value (now: Millis): number {
    return this.#value * Math.exp((this.#at - now) / this.#window)
  }

  /** Mean rate per millisecond over about the window. */
  perMilli (now: Millis): number {
    return this.value(now) / this.#window
  }
}

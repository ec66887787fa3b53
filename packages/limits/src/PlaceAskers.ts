import type { Clock } from '@papayahill/common'
import { LEND_WAIT, MAX_ASKERS } from './constants.js'
import type { PlaceLoan } from './placeMessages.js'

/**
 * Other instances that wait for a place of this one, in order of arrival.
 *
 * @example
 * const loan = await askers.wait()
 */
export class PlaceAskers {
  readonly #clock: Clock
  readonly #waiting = new Set<(loan: PlaceLoan | undefined) => void>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get size (): number {
    return this.#waiting.size
  }

  /** Resolves with a loan; undefined if there are too many or none comes in time. */
  wait (): Promise<PlaceLoan | undefined> {
    if (this.#waiting.size >= MAX_ASKERS) return Promise.resolve(undefined)
    return new Promise((resolve) => {
      const settle = (loan: PlaceLoan | undefined): void => {
        timer.cancel()
        this.#waiting.delete(settle)
        resolve(loan)
      }
      const timer = this.#clock.after(LEND_WAIT, () => settle(undefined))
      this.#waiting.add(settle)
    })
  }

  /** Gives the first one a loan. */
  serveFirst (loan: PlaceLoan): void {
    const [first] = this.#waiting
    first?.(loan)
  }
}

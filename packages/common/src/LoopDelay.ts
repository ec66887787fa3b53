import type { Clock } from './Clock.js'
import { millis } from './units.js'
import type { Millis } from './units.js'

/**
 * Estimates the event loop delay from the lateness of a periodic timer: input that is read right after a long task or a
 * pause has waited for about as long.
 *
 * @example
 * const delay = new LoopDelay(clock, millis(100))
 * clock.every(millis(100), () => delay.tick())
 * const arrivedAt = clock.now() - delay.current
 */
export class LoopDelay {
  readonly #clock: Clock
  readonly #period: Millis
  #lastTickAt: Millis
  #lateness: Millis = millis(0)

  constructor (clock: Clock, period: Millis) {
    this.#clock = clock
    this.#period = period
    this.#lastTickAt = clock.now()
  }

  /** Call it once per period. */
  tick (): void {
    const now = this.#clock.now()
    this.#lateness = millis(Math.max(0, now - this.#lastTickAt - this.#period))
    this.#lastTickAt = now
  }

  /** Time that input read now may have waited. A backlog takes about as long to process as it took to build up. */
  get current (): Millis {
    const elapsed = this.#clock.now() - this.#lastTickAt
    return elapsed < this.#lateness ? this.#lateness : millis(Math.max(0, elapsed - this.#period))
  }
}

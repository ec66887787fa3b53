import type { Clock } from './Clock.js'
import { millis } from './units.js'
import type { Millis } from './units.js'

/**
 * How late a process is to handle what has arrived, as the lateness of its own timer shows: what it reads right after a
 * long task or a pause has waited for about as long.
 *
 * @example
 * const delay = new LoopDelay(clock, millis(100))
 * clock.every(millis(100), () => delay.tick())
 * const arrivedAt = clock.now() - delay.current
 */
export class LoopDelay {
  readonly #clock: Clock
  readonly #period: Millis
  #tickedAt: Millis
  #late: Millis = millis(0)

  constructor (clock: Clock, period: Millis) {
    this.#clock = clock
    this.#period = period
    this.#tickedAt = clock.now()
  }

  /** To be called once each period. */
  tick (): void {
    const now = this.#clock.now()
    this.#late = millis(Math.max(0, now - this.#tickedAt - this.#period))
    this.#tickedAt = now
  }

  /** Time that something read now may have waited; a backlog takes about as long to handle as it took to gather. */
  get current (): Millis {
    const since = this.#clock.now() - this.#tickedAt
    return since < this.#late ? this.#late : millis(Math.max(0, since - this.#period))
  }
}

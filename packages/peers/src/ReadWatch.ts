import type { Clock, Millis } from '@papayahill/common'

/**
 * Tells until when this process has read all that had arrived. After a pause or a long task, timers run before what has
 * waited is read, and a peer would seem to have been silent for as long as this process was late.
 *
 * @example
 * const watch = new ReadWatch(clock)
 * clock.every(millis(100), () => watch.tick())
 */
export class ReadWatch {
  readonly #clock: Clock
  #lastTickAt: Millis
  #readUntil: Millis

  constructor (clock: Clock) {
    this.#clock = clock
    this.#lastTickAt = clock.now()
    this.#readUntil = this.#lastTickAt
  }

  /** Call it periodically: between two calls the event loop reads what had arrived before the first one. */
  tick (): void {
    this.#readUntil = this.#lastTickAt
    this.#lastTickAt = this.#clock.now()
  }

  get readUntil (): Millis {
    return this.#readUntil
  }
}

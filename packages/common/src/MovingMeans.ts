import { millis } from './units.js'
import type { Millis } from './units.js'

export interface MovingMeansOptions {
  /** Weight of each new time. */
  readonly weight: number
  /** The mean of a key that has no time yet. */
  readonly initial: Millis
}

/**
 * The exponential moving mean of a time by key, such as a route's time to the first event.
 *
 * @example
 * const times = new MovingMeans({ weight: 0.1, initial: millis(250) })
 * times.record('guide', millis(230))
 * times.mean('guide') // 230
 */
export class MovingMeans<Key extends string> {
  readonly #options: MovingMeansOptions
  readonly #means = new Map<Key, number>()

  constructor (options: MovingMeansOptions) {
    this.#options = options
  }

  record (key: Key, took: Millis): void {
    const mean = this.#means.get(key) ?? took
    this.#means.set(key, mean + this.#options.weight * (took - mean))
  }

  mean (key: Key): Millis {
    return millis(this.#means.get(key) ?? this.#options.initial)
  }
}

import { millis } from './units.js'
import type { Millis } from './units.js'

/** Keys with a mean; the one that was recorded least recently is dropped for a new one. */
const MAX_KEYS = 2000

export interface MovingMeansOptions {
  /** Weight of each new time. */
  readonly weight: number
  /** The mean of a key that has no time yet. */
  readonly initial: Millis
}

/**
 * The exponential moving mean of a time by key, such as a route's time to the first event. Keys may change as long as the
 * process lives, as with each configuration: only the latest {@link MAX_KEYS} are kept.
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

  /** Number of keys with a mean. */
  get size (): number {
    return this.#means.size
  }

  record (key: Key, took: Millis): void {
    const mean = this.#means.get(key) ?? took
    this.#means.delete(key)
    this.#means.set(key, mean + this.#options.weight * (took - mean))
    if (this.#means.size <= MAX_KEYS) return
    const [oldest] = this.#means.keys()
    this.#means.delete(oldest!)
  }

  /** The mean of a key; undefined if it has no time yet. */
  known (key: Key): Millis | undefined {
    const mean = this.#means.get(key)
    return mean === undefined ? undefined : millis(mean)
  }

  mean (key: Key): Millis {
    return millis(this.#means.get(key) ?? this.#options.initial)
  }
}

/** Ratio of the mean time to the best observed one above which an endpoint counts as overloaded. */
const OVERLOAD_RATIO = 2
const DECREASE_FACTOR = 0.8
const FLOOR_SHARE = 0.25
const WINDOW_CALLS = 16
/** Factor per window by which the best observed time decays. */
const BASE_DECAY = 1.02

/**
 * Adaptive concurrency limit of a warm endpoint: starts at the reported capacity, decreases while calls take much longer
 * than the best observed time, and increases again with each call.
 *
 * @example
 * const limit = new WarmLimit()
 * limit.setMax(report.bearsWarm)
 * limit.add(1.2, true)
 */
export class WarmLimit {
  #max = 0
  #value = 0
  #best = Infinity
  #sum = 0
  #count = 0

  /** Calls that all instances together may run there. */
  get value (): number {
    return this.#value
  }

  /** Sets the capacity that the endpoint reports for its warm state. */
  setMax (max: number): void {
    if (max === this.#max) return
    this.#value = this.#max === 0 ? max : Math.min(max, this.#value * max / this.#max)
    this.#max = max
  }

  /** Records the time of a successful call as a multiple of the usual one; `wasBusy` if the endpoint was near its limit. */
  add (took: number, wasBusy: boolean): void {
    this.#sum += took
    this.#count++
    this.#value = Math.min(this.#max, this.#value + 1 / Math.max(1, this.#value))
    if (this.#count < WINDOW_CALLS) return
    this.#decreaseIfOverloaded(this.#sum / this.#count, wasBusy)
    this.#sum = 0
    this.#count = 0
  }

  clear (): void {
    this.#max = 0
    this.#value = 0
    this.#best = Infinity
    this.#sum = 0
    this.#count = 0
  }

  #decreaseIfOverloaded (mean: number, wasBusy: boolean): void {
    this.#best = Math.min(this.#best * BASE_DECAY, mean)
    if (!wasBusy || mean <= this.#best * OVERLOAD_RATIO) return
    this.#value = Math.max(this.#max * FLOOR_SHARE, 1, this.#value * DECREASE_FACTOR)
  }
}

/** Mean time over the best one seen at which an endpoint counts as overloaded. */
const OVERLOAD_RATIO = 2
const CUT = 0.8
const FLOOR_SHARE = 0.25
const WINDOW_CALLS = 16
/** How quickly the best time seen is forgotten, per window. */
const BASE_DECAY = 1.02

/**
 * Learns how many calls a warm endpoint bears at once: starts from what it reports, falls while its calls
 * take much longer than at their best, and rises again call by call.
 *
 * @example
 * const limit = new WarmLimit()
 * limit.setTop(report.bearsWarm)
 * limit.add(1.2, true)
 */
export class WarmLimit {
  #top = 0
  #value = 0
  #best = Infinity
  #sum = 0
  #count = 0

  /** Calls that all instances together may run there. */
  get value (): number {
    return this.#value
  }

  /** What the endpoint says it bears when warm. */
  setTop (top: number): void {
    if (top === this.#top) return
    this.#value = this.#top === 0 ? top : Math.min(top, this.#value * top / this.#top)
    this.#top = top
  }

  /** Takes the time of a call that ended well, as a multiple of what is usual; `wasBusy` where the endpoint was near its limit. */
  add (took: number, wasBusy: boolean): void {
    this.#sum += took
    this.#count++
    this.#value = Math.min(this.#top, this.#value + 1 / Math.max(1, this.#value))
    if (this.#count < WINDOW_CALLS) return
    this.#judge(this.#sum / this.#count, wasBusy)
    this.#sum = 0
    this.#count = 0
  }

  clear (): void {
    this.#top = 0
    this.#value = 0
    this.#best = Infinity
    this.#sum = 0
    this.#count = 0
  }

  #judge (mean: number, wasBusy: boolean): void {
    this.#best = Math.min(this.#best * BASE_DECAY, mean)
    if (!wasBusy || mean <= this.#best * OVERLOAD_RATIO) return
    this.#value = Math.max(this.#top * FLOOR_SHARE, 1, this.#value * CUT)
  }
}

const RECENT_CALLS = 16

/**
 * Moving statistics of recent calls: mean time, share of failures, consecutive failures. All times must have the same unit.
 *
 * @example
 * const stats = new CallStats()
 * stats.add(true, 25)
 * stats.mean // 25
 */
export class CallStats {
  #mean = 0
  #failShare = 0
  #count = 0
  #failedInRow = 0

  /** Mean time of successful calls; 0 before the first. */
  get mean (): number {
    return this.#mean
  }

  get failShare (): number {
    return this.#failShare
  }

  get count (): number {
    return this.#count
  }

  get failedInRow (): number {
    return this.#failedInRow
  }

  add (isGood: boolean, took: number): void {
    this.#count++
    const weight = 1 / Math.min(this.#count, RECENT_CALLS)
    this.#failShare += weight * ((isGood ? 0 : 1) - this.#failShare)
    this.#failedInRow = isGood ? 0 : this.#failedInRow + 1
    if (!isGood) return
    this.#mean = this.#mean === 0 ? took : this.#mean + weight * (took - this.#mean)
  }

  clear (): void {
    this.#mean = 0
    this.#failShare = 0
    this.#count = 0
    this.#failedInRow = 0
  }
}

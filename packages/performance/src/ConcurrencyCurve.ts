import type { Millis } from '@papayahill/common'
import { MIN_SHAPE_ERROR, SHAPE_BINS, SHAPE_FIT_MARGIN, SHAPE_TIME_CONSTANT } from './constants.js'

/** Calls in one class of concurrency, weighted by age. */
interface Bin {
  weight: number
  /** Weighted sums of the deviations from the level, and of the logarithms of the concurrency. */
  deviation: number
  squares: number
  logConcurrency: number
}

/**
 * Learns the concurrency beyond which an endpoint slows down: up to it calls take the same time, beyond it they take a
 * time in proportion to their number, as if so many processors were shared.
 *
 * @example
 * const curve = new ConcurrencyCurve(8)
 * curve.add(6, deviation, now)
 * curve.fit()
 * curve.comfortable // 4, say
 */
export class ConcurrencyCurve {
  readonly #slots: number
  readonly #bins: readonly Bin[] = Array.from({ length: SHAPE_BINS }, () => ({ weight: 0, deviation: 0, squares: 0, logConcurrency: 0 }))
  #comfortable: number
  #at: Millis | undefined

  constructor (slots: number) {
    this.#slots = Math.max(1, slots)
    this.#comfortable = this.#slots
  }

  /** Concurrent calls beyond which the endpoint slows down; its slots where nothing else was learnt. */
  get comfortable (): number {
    return this.#comfortable
  }

  set comfortable (value: number) {
    this.#comfortable = Math.min(this.#slots, Math.max(1, value))
  }

  /** Factor on the time of a call with so many concurrent calls, itself included; those beyond the slots wait, and do not slow it. */
  factor (concurrency: number): number {
    return Math.max(1, Math.min(concurrency, this.#slots) / this.#comfortable)
  }

  /** Drops the calls of before a change of the speed, which must not pass for an effect of concurrency; the estimate stays. */
  clear (): void {
    for (const bin of this.#bins) bin.weight = bin.deviation = bin.squares = bin.logConcurrency = 0
  }

  /** Records a call by its deviation from the level, as a logarithm. */
  add (concurrency: number, deviation: number, now: Millis): void {
    const kept = Math.exp(-(now - (this.#at ?? now)) / SHAPE_TIME_CONSTANT)
    this.#at = now
    for (const bin of this.#bins) {
      bin.weight *= kept
      bin.deviation *= kept
      bin.squares *= kept
      bin.logConcurrency *= kept
    }
    const running = Math.min(this.#slots, Math.max(1, concurrency))
    const bin = this.#bins[Math.min(SHAPE_BINS - 1, Math.floor((running - 1) * SHAPE_BINS / this.#slots))]!
    bin.weight++
    bin.deviation += deviation
    bin.squares += deviation * deviation
    bin.logConcurrency += Math.log(running)
  }

  /**
   * Estimates the concurrency anew; returns by how much the level must change, as a logarithm, so that the expected time of
   * the usual call stays the same.
   */
  fit (): number {
    const before = this.#errorAt(this.#comfortable)
    let best = before
    let bestAt = this.#comfortable
    for (let step = 1; step <= SHAPE_BINS; step++) {
      const candidate = Math.max(1, this.#slots * step / SHAPE_BINS)
      const found = this.#errorAt(candidate)
      if (found.error < best.error) [best, bestAt] = [found, candidate]
    }
    if (bestAt === this.#comfortable) return 0
    // Logarithm of the likelihood ratio, twice, with the noise as found.
    if (best.weight * Math.log(before.error / best.error) < SHAPE_FIT_MARGIN) return 0
    const change = before.meanFactor - best.meanFactor
    this.#comfortable = bestAt
    for (const bin of this.#bins) {
      bin.squares += change * (change * bin.weight - 2 * bin.deviation)
      bin.deviation -= change * bin.weight
    }
    return change
  }

  /** Squared error of the best level with a candidate, and the mean logarithm of its factors. */
  #errorAt (comfortable: number): { readonly error: number, readonly meanFactor: number, readonly weight: number } {
    const logComfortable = Math.log(comfortable)
    let [weight, sum, squares, within, factors] = [0, 0, 0, MIN_SHAPE_ERROR, 0]
    for (const bin of this.#bins) {
      if (bin.weight < 1e-6) continue
      const factor = Math.max(0, bin.logConcurrency / bin.weight - logComfortable)
      const rest = bin.deviation / bin.weight - factor
      weight += bin.weight
      sum += bin.weight * rest
      squares += bin.weight * rest * rest
      within += bin.squares - bin.deviation * bin.deviation / bin.weight
      factors += bin.weight * factor
    }
    if (weight === 0) return { error: within, meanFactor: 0, weight }
    return { error: within + squares - sum * sum / weight, meanFactor: factors / weight, weight }
  }
}

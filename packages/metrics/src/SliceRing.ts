import type { Millis, RequestRecord, StageRecord } from '@papayahill/common'
import { SliceStats } from './SliceStats.js'

export interface SliceRingOptions {
  /** Duration of one slice. */
  readonly span: Millis
  /** Number of slices kept. */
  readonly count: number
  /** Significant digits of recorded latencies. */
  readonly digits: number
}

interface Slice {
  readonly index: number
  readonly stats: SliceStats
}

/**
 * Statistics over a sliding time window, in slices of equal duration. The oldest slices are dropped.
 *
 * @example
 * const ring = new SliceRing({ span: seconds(30), count: 30, digits: 2 })
 * ring.record(clock.now(), record, stages)
 * ring.sumOver(clock.now(), seconds(300)).requests
 */
export class SliceRing {
  readonly #options: SliceRingOptions
  #slices: Slice[] = []

  constructor (options: SliceRingOptions) {
    this.#options = options
  }

  record (now: Millis, record: RequestRecord, stages: readonly StageRecord[]): void {
    const index = this.#indexAt(now)
    const newest = this.#slices[this.#slices.length - 1]
    if (newest?.index === index) return newest.stats.record(record, stages)
    const stats = new SliceStats(this.#options.digits)
    stats.record(record, stages)
    this.#slices = [...this.#slices.filter((slice) => slice.index > index - this.#options.count), { index, stats }]
  }

  /** Sums the slices that overlap the window. */
  sumOver (now: Millis, window: Millis): SliceStats {
    const sum = new SliceStats(this.#options.digits)
    const oldest = this.#indexAt(Math.max(0, now - window))
    const lastExpired = this.#indexAt(now) - this.#options.count
    for (const { index, stats } of this.#slices) if (index >= oldest && index > lastExpired) sum.add(stats)
    return sum
  }

  #indexAt (time: number): number {
    return Math.floor(time / this.#options.span)
  }
}

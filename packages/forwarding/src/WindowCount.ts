import type { Millis } from '@papayahill/common'

/** Spans into which a window is divided; each is counted as a whole. */
const SPANS_PER_WINDOW = 100

interface Span {
  readonly first: Millis
  last: Millis
  count: number
}

/** Whether a count may be lower than the exact one, or higher, by what falls into one span. */
export type CountBound = 'lower' | 'upper'

/**
 * A bound of how many events a sliding window holds, in memory that does not depend on their number.
 *
 * @example
 * const requests = new WindowCount('lower')
 * requests.add(now, 3, window)
 * requests.count(now, window) // 3
 */
export class WindowCount {
  readonly #bound: CountBound
  /** Oldest first. */
  #spans: Span[] = []

  constructor (bound: CountBound) {
    this.#bound = bound
  }

  /** Number of spans that are kept. */
  get size (): number {
    return this.#spans.length
  }

  add (now: Millis, count: number, window: Millis): void {
    if (count <= 0) return
    const newest = this.#spans.at(-1)
    if (newest !== undefined && now - newest.first < window / SPANS_PER_WINDOW) {
      newest.last = now
      newest.count += count
      return
    }
    this.#prune(now, window)
    this.#spans.push({ first: now, last: now, count })
  }

  /** Takes back events, the newest first. */
  remove (count: number): void {
    let left = count
    for (let at = this.#spans.length - 1; at >= 0 && left > 0; at--) {
      const span = this.#spans[at]!
      const removed = Math.min(left, span.count)
      span.count -= removed
      left -= removed
    }
  }

  /** A bound of the events after `now - window`. */
  count (now: Millis, window: Millis): number {
    this.#prune(now, window)
    return this.#spans.reduce((sum, { count }) => sum + count, 0)
  }

  #prune (now: Millis, window: Millis): void {
    const since = now - window
    const isOver = ({ first, last }: Span): boolean => (this.#bound === 'lower' ? first : last) <= since
    if (this.#spans.length > 0 && isOver(this.#spans[0]!)) this.#spans = this.#spans.filter((span) => !isOver(span))
  }
}

import { EvidenceCounts } from './EvidenceCounts.js'

/**
 * Evidence of all instances on one move. Each incarnation of an instance reports grow-only counters; increments are
 * buffered until they are evaluated, so that each call is evaluated exactly once.
 *
 * @example
 * const merged = new MergedEvidence()
 * merged.merge('i1 i1#000001', counts)
 * merged.drain() // increments since the last call
 */
export class MergedEvidence {
  readonly total = new EvidenceCounts()
  readonly #latestCounts = new Map<string, EvidenceCounts>()
  #pending = new EvidenceCounts()
  #drained = new EvidenceCounts()

  /** Adds calls that are not counted yet, such as this instance's own. */
  add (delta: EvidenceCounts): void {
    this.total.add(delta)
    this.#pending.add(delta)
  }

  /** Merges the newest counters of one incarnation of an instance, identified by `source`. */
  merge (source: string, counts: EvidenceCounts): void {
    this.add(counts.since(this.#latestCounts.get(source)))
    this.#latestCounts.set(source, counts)
  }

  /** Merges counters that other instances evaluated before this one began to listen; they are not evaluated again. */
  mergeEvaluated (source: string, counts: EvidenceCounts): void {
    this.total.add(counts.since(this.#latestCounts.get(source)))
    this.#latestCounts.set(source, counts)
  }

  /** Returns the increments since the last call. The result is reused and valid only until the next call. */
  drain (): EvidenceCounts {
    const pending = this.#pending
    this.#pending = this.#drained
    this.#pending.clear()
    this.#drained = pending
    return pending
  }
}

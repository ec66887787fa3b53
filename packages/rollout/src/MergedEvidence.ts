import { EvidenceCounts } from './EvidenceCounts.js'

/**
 * Evidence of all instances on one move. Each life of an instance reports grow-only counts;
 * what is new in them waits here until it is judged, each call once.
 *
 * @example
 * const merged = new MergedEvidence()
 * merged.take('i1 i1#000001', counts)
 * merged.drain() // what came since the last call
 */
export class MergedEvidence {
  readonly total = new EvidenceCounts()
  readonly #seen = new Map<string, EvidenceCounts>()
  #fresh = new EvidenceCounts()

  /** Takes the newest counts of one life of an instance. */
  take (life: string, counts: EvidenceCounts): void {
    const delta = counts.since(this.#seen.get(life))
    this.#seen.set(life, counts)
    this.total.add(delta)
    this.#fresh.add(delta)
  }

  /** Takes counts that others have judged before this instance began to listen. */
  takeJudged (life: string, counts: EvidenceCounts): void {
    this.total.add(counts.since(this.#seen.get(life)))
    this.#seen.set(life, counts)
  }

  drain (): EvidenceCounts {
    const fresh = this.#fresh
    this.#fresh = new EvidenceCounts()
    return fresh
  }
}

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
  #drained = new EvidenceCounts()

  /** Takes calls that nobody has counted here yet, such as this instance's own. */
  takeNew (delta: EvidenceCounts): void {
    this.total.add(delta)
    this.#fresh.add(delta)
  }

  /** Takes the newest counts of one life of an instance. */
  take (life: string, counts: EvidenceCounts): void {
    this.takeNew(counts.since(this.#seen.get(life)))
    this.#seen.set(life, counts)
  }

  /** Takes counts that others have judged before this instance began to listen. */
  takeJudged (life: string, counts: EvidenceCounts): void {
    this.total.add(counts.since(this.#seen.get(life)))
    this.#seen.set(life, counts)
  }

  /** What came since the last drain; good until the next one. */
  drain (): EvidenceCounts {
    const fresh = this.#fresh
    this.#fresh = this.#drained
    this.#fresh.clear()
    this.#drained = fresh
    return fresh
  }
}

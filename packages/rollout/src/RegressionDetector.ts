import {
  ASSUMED_FAILED_RATES, ASSUMED_SLOW_RATES, HOLD_ALWAYS_NATS, HOLD_FAILED_SHARE, HOLD_NATS, HOLD_SLOW_SHARE
} from './constants.js'
import { EvidenceSums } from './EvidenceSums.js'
import { EvidenceTally } from './EvidenceTally.js'
import type { TallyCounts } from './EvidenceTally.js'

/** Evidence of one block of calls, in nats, for each assumed rate of failed and of slow calls. */
export interface BlockEvidence extends TallyCounts {
  readonly failedNats: readonly number[]
  readonly slowNats: readonly number[]
}

/** Number of evidence sums that a {@link RegressionDetector} keeps. */
export const SUM_COUNT = ASSUMED_FAILED_RATES.length + ASSUMED_SLOW_RATES.length

/**
 * Detects that the new version fails or is slow more often than the old one over the same period.
 *
 * @example
 * const detector = new RegressionDetector()
 * detector.update(evidence)
 * detector.netNats
 */
export class RegressionDetector {
  readonly #failed = new EvidenceSums(ASSUMED_FAILED_RATES.length)
  readonly #slow = new EvidenceSums(ASSUMED_SLOW_RATES.length)
  /** The same evidence with exponential decay; it decides whether to hold back the next step. */
  readonly #recentFailed = new EvidenceSums(ASSUMED_FAILED_RATES.length)
  readonly #recentSlow = new EvidenceSums(ASSUMED_SLOW_RATES.length)
  readonly #tally = new EvidenceTally()

  /** Evidence against the new version, in nats. */
  get nats (): number {
    return Math.max(this.#failed.nats, this.#slow.nats)
  }

  get netNats (): number {
    return Math.max(this.#failed.netNats, this.#slow.netNats)
  }

  /** Whether recent evidence speaks against raising the share now. */
  get shouldHold (): boolean {
    const failed = this.#recentFailed.nats
    const slow = this.#recentSlow.nats
    if (Math.max(failed, slow) >= HOLD_ALWAYS_NATS) return true
    const isFailing = failed >= HOLD_NATS && this.#tally.failedShare >= HOLD_FAILED_SHARE
    return isFailing || (slow >= HOLD_NATS && this.#tally.slowShare >= HOLD_SLOW_SHARE)
  }

  update (evidence: BlockEvidence): void {
    this.#failed.add(evidence.failedNats)
    this.#slow.add(evidence.slowNats)
    this.#recentFailed.add(evidence.failedNats)
    this.#recentSlow.add(evidence.slowNats)
    if (this.nats === 0) this.#tally.clear()
    this.#tally.add(evidence)
  }

  /** Scales down the evidence that holds back steps. */
  decay (factor: number): void {
    this.#recentFailed.decay(factor)
    this.#recentSlow.decay(factor)
  }

  /** Describes the stronger evidence with call counts; `limit` is the wording of the slowness threshold. */
  describe (limit = ''): string {
    const isFailing = this.#failed.netNats >= this.#slow.netNats
    return isFailing ? this.#tally.describeFailed() : this.#tally.describeSlow(limit)
  }
}

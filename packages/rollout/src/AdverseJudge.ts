import {
  DOUBT_FAILED_SHARE, DOUBT_SLOW_SHARE, HOLD_ALWAYS_NATS, HOLD_NATS, SUPPOSED_FAILED_RATES, SUPPOSED_SLOW_RATES
} from './constants.js'
import { EvidenceSums } from './EvidenceSums.js'
import { Tally } from './Tally.js'
import type { TallyCounts } from './Tally.js'

/** What one block of calls says, for each supposed rate of failed and of slow calls. */
export interface Looked extends TallyCounts {
  readonly failedNats: readonly number[]
  readonly slowNats: readonly number[]
}

/** Number of sums that an {@link AdverseJudge} keeps. */
export const SUM_COUNT = SUPPOSED_FAILED_RATES.length + SUPPOSED_SLOW_RATES.length

/**
 * Failures and slow calls of the new version against those of the old one in the same time.
 *
 * @example
 * const judge = new AdverseJudge()
 * judge.update(looked)
 * judge.netNats
 */
export class AdverseJudge {
  readonly #failed = new EvidenceSums(SUPPOSED_FAILED_RATES.length)
  readonly #slow = new EvidenceSums(SUPPOSED_SLOW_RATES.length)
  /** The same evidence, fading: what holds back a step. */
  readonly #failedDoubt = new EvidenceSums(SUPPOSED_FAILED_RATES.length)
  readonly #slowDoubt = new EvidenceSums(SUPPOSED_SLOW_RATES.length)
  readonly #tally = new Tally()

  /** Evidence against the new version, in nats. */
  get nats (): number {
    return Math.max(this.#failed.nats, this.#slow.nats)
  }

  get netNats (): number {
    return Math.max(this.#failed.netNats, this.#slow.netNats)
  }

  /** Whether the share should not be raised now. */
  get isDoubtful (): boolean {
    const failed = this.#failedDoubt.nats
    const slow = this.#slowDoubt.nats
    if (Math.max(failed, slow) >= HOLD_ALWAYS_NATS) return true
    const isFailing = failed >= HOLD_NATS && this.#tally.failedShare >= DOUBT_FAILED_SHARE
    return isFailing || (slow >= HOLD_NATS && this.#tally.slowShare >= DOUBT_SLOW_SHARE)
  }

  update (looked: Looked): void {
    this.#failed.add(looked.failedNats)
    this.#slow.add(looked.slowNats)
    this.#failedDoubt.add(looked.failedNats)
    this.#slowDoubt.add(looked.slowNats)
    if (this.nats === 0) this.#tally.clear()
    this.#tally.add(looked)
  }

  /** Lets the evidence that holds back steps fade. */
  fade (kept: number): void {
    this.#failedDoubt.fade(kept)
    this.#slowDoubt.fade(kept)
  }

  /** The evidence in words and numbers; `limit` says from when on a call was slow. */
  describe (limit = ''): string {
    const isFailing = this.#failed.netNats >= this.#slow.netNats
    return isFailing ? this.#tally.describeFailed() : this.#tally.describeSlow(limit)
  }
}

import { AdverseTest } from './AdverseTest.js'
import {
  DOUBT_FAILED_SHARE, DOUBT_SLOW_SHARE, FAILURE_RATIOS, HOLD_ALWAYS_NATS, HOLD_NATS, SLOW_RATIOS
} from './constants.js'
import { Tally } from './Tally.js'
import type { TallyCounts } from './Tally.js'

/** Calls that ended since the last look, and the new version's share while they ran. */
export interface Looked extends TallyCounts {
  readonly share: number
}

/** Number of sums that an {@link AdverseJudge} keeps. */
export const SUM_COUNT = FAILURE_RATIOS.length + SLOW_RATIOS.length

/**
 * Failures and slow calls of the new version against those of the old one in the same time.
 *
 * @example
 * const judge = new AdverseJudge()
 * judge.update(looked)
 * judge.netNats
 */
export class AdverseJudge {
  readonly #failures = new AdverseTest(FAILURE_RATIOS)
  readonly #slow = new AdverseTest(SLOW_RATIOS)
  readonly #tally = new Tally()

  /** Evidence against the new version, in nats. */
  get nats (): number {
    return Math.max(this.#failures.nats, this.#slow.nats)
  }

  get netNats (): number {
    return Math.max(this.#failures.netNats, this.#slow.netNats)
  }

  /** Whether the share should not be raised now. */
  get isDoubtful (): boolean {
    if (this.nats >= HOLD_ALWAYS_NATS) return true
    const isFailing = this.#failures.nats >= HOLD_NATS && this.#tally.failedShare >= DOUBT_FAILED_SHARE
    return isFailing || (this.#slow.nats >= HOLD_NATS && this.#tally.slowShare >= DOUBT_SLOW_SHARE)
  }

  update (looked: Looked): void {
    this.#failures.update(looked.failed, looked.share)
    this.#slow.update(looked.slow, looked.share)
    if (this.nats === 0) this.#tally.clear()
    this.#tally.add(looked)
  }

  /** The evidence in words and numbers; `limit` says from when on a call was slow. */
  describe (limit = ''): string {
    const isFailing = this.#failures.netNats >= this.#slow.netNats
    return isFailing ? this.#tally.describeFailed() : this.#tally.describeSlow(limit)
  }
}

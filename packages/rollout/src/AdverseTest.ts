import { newCallNats, oldCallNats } from './likelihood.js'

/** Adverse calls, such as failures, of both versions. */
export interface AdverseCalls {
  readonly new: number
  readonly old: number
}

/** Part of the error rate that the first run of evidence may spend; later runs spend less, all together 1. */
const RUN_POWER = 1.2
/** Sum of `run ** -RUN_POWER` over all runs (Riemann's zeta at 1.2). */
const RUN_POWER_SUM = 5.592

/** Evidence for one ratio: a sum of log likelihood ratios that starts a new run where it falls below zero. */
interface Run {
  readonly ratio: number
  nats: number
  count: number
}

/**
 * Sequential test of one kind of adverse call. For each ratio it sums log likelihood ratios and starts again
 * from zero where they fall below it, so that a fault that shows late is found as fast as one that shows at
 * once. A run of a faultless version reaches `c` nats with a chance of at most `exp(-c)` (Ville's inequality);
 * each run has its own part of the error rate, so that all runs together keep it.
 *
 * @example
 * const failures = new AdverseTest([4, 16, 64])
 * failures.update({ new: 3, old: 0 }, 0.02)
 * failures.nats // about 8.9
 */
export class AdverseTest {
  readonly #runs: readonly Run[]

  constructor (ratios: readonly number[]) {
    this.#runs = ratios.map((ratio) => ({ ratio, nats: 0, count: 0 }))
  }

  /** Evidence against the new version, in nats. */
  get nats (): number {
    return Math.max(...this.#runs.map(({ nats }) => nats))
  }

  /** Evidence less what its run costs, to be compared with the logarithm of one over the error rate. */
  get netNats (): number {
    return Math.max(...this.#runs.map(({ nats, count }) => nats - Math.log(RUN_POWER_SUM * Math.max(1, count) ** RUN_POWER)))
  }

  /** Adds adverse calls that fell while the new version had `share` of all calls. */
  update (adverse: AdverseCalls, share: number): void {
    if (share <= 0 || share >= 1 || adverse.new + adverse.old === 0) return
    for (const run of this.#runs) {
      const gained = adverse.new * newCallNats(share, run.ratio) + adverse.old * oldCallNats(share, run.ratio)
      if (run.nats === 0 && gained > 0) run.count++
      run.nats = Math.max(0, run.nats + gained)
    }
  }
}

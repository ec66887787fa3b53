/** Exponent by which later runs get a smaller part of the error rate; the parts of all runs add up to 1. */
const RUN_POWER = 1.2
/** Sum of `run ** -RUN_POWER` over all runs: the Riemann zeta function at 1.2. */
const RUN_POWER_SUM = 5.592

/** The evidence accumulated since it last fell to zero, in nats, and how many runs have begun. */
interface EvidenceRun {
  nats: number
  count: number
}

/**
 * Cumulative sums of evidence, one per assumed rate. A sum that falls below zero restarts at zero, so that a regression
 * that appears late is detected as fast as one that is there from the start. For a version without a regression a run
 * reaches `c` nats with a probability of at most `exp(-c)` (Ville's inequality). Each run gets its own part of the error
 * rate, which keeps the total within it.
 *
 * @example
 * const sums = new EvidenceSums(3)
 * sums.add([0.2, 1.4, -0.3])
 * sums.netNats
 */
export class EvidenceSums {
  readonly #runs: readonly EvidenceRun[]

  constructor (count: number) {
    this.#runs = Array.from({ length: count }, () => ({ nats: 0, count: 0 }))
  }

  /** Evidence against the new version, in nats. */
  get nats (): number {
    return Math.max(...this.#runs.map(({ nats }) => nats))
  }

  /** Evidence minus the correction for the number of runs, to be compared with `log(1 / errorRate)`. */
  get netNats (): number {
    return Math.max(...this.#runs.map(({ nats, count }) => nats - Math.log(RUN_POWER_SUM * Math.max(1, count) ** RUN_POWER)))
  }

  /** Scales down the accumulated evidence. */
  decay (factor: number): void {
    for (const run of this.#runs) run.nats *= factor
  }

  add (gained: readonly number[]): void {
    this.#runs.forEach((run, index) => {
      const nats = gained[index]!
      if (run.nats === 0 && nats > 0) run.count++
      run.nats = Math.max(0, run.nats + nats)
    })
  }
}

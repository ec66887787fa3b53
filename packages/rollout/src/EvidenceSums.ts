/** Part of the error rate that the first run of evidence may spend; later runs spend less, all together 1. */
const RUN_POWER = 1.2
/** Sum of `run ** -RUN_POWER` over all runs (Riemann's zeta at 1.2). */
const RUN_POWER_SUM = 5.592

/** Evidence in hand, in nats, since it last fell to zero, and how often it has begun. */
interface Run {
  nats: number
  count: number
}

/**
 * Sums of evidence, one for each supposed rate. A sum starts again from zero where it falls below it, so that a
 * fault that shows late is found as fast as one that shows at once. A run of a faultless version reaches `c`
 * nats with a chance of at most `exp(-c)` (Ville's inequality); each run has its own part of the error rate, so
 * that all runs together keep it.
 *
 * @example
 * const sums = new EvidenceSums(3)
 * sums.add([0.2, 1.4, -0.3])
 * sums.netNats
 */
export class EvidenceSums {
  readonly #runs: readonly Run[]

  constructor (count: number) {
    this.#runs = Array.from({ length: count }, () => ({ nats: 0, count: 0 }))
  }

  /** Evidence against the new version, in nats. */
  get nats (): number {
    return Math.max(...this.#runs.map(({ nats }) => nats))
  }

  /** Evidence less what its run costs, to be compared with the logarithm of one over the error rate. */
  get netNats (): number {
    return Math.max(...this.#runs.map(({ nats, count }) => nats - Math.log(RUN_POWER_SUM * Math.max(1, count) ** RUN_POWER)))
  }

  /** Lets earlier evidence weigh less. */
  fade (kept: number): void {
    for (const run of this.#runs) run.nats *= kept
  }

  add (gained: readonly number[]): void {
    this.#runs.forEach((run, index) => {
      const nats = gained[index]!
      if (run.nats === 0 && nats > 0) run.count++
      run.nats = Math.max(0, run.nats + nats)
    })
  }
}

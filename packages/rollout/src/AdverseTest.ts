import { newCallNats, oldCallNats } from './likelihood.js'

/** Adverse calls, such as failures, of both versions. */
export interface AdverseCalls {
  readonly new: number
  readonly old: number
}

/**
 * Sequential test of one kind of adverse call on one route. For each ratio it sums log likelihood ratios
 * and starts again from zero where they fall below it, so that a fault that shows late is found as fast as
 * one that shows at once. The chance that a sum of a faultless version reaches `c` nats in `n` updates is
 * at most `n * exp(-c)`.
 *
 * @example
 * const failures = new AdverseTest([4, 16, 64])
 * failures.update({ new: 3, old: 0 }, 0.02)
 * failures.nats // about 8.9
 */
export class AdverseTest {
  readonly #ratios: readonly number[]
  readonly #sums: number[]

  constructor (ratios: readonly number[]) {
    this.#ratios = ratios
    this.#sums = ratios.map(() => 0)
  }

  /** Evidence against the new version, in nats. */
  get nats (): number {
    return Math.max(...this.#sums)
  }

  /** Adds adverse calls that fell while the new version had `share` of all calls. */
  update (adverse: AdverseCalls, share: number): void {
    if (share <= 0 || share >= 1) return
    this.#ratios.forEach((ratio, index) => {
      const gained = adverse.new * newCallNats(share, ratio) + adverse.old * oldCallNats(share, ratio)
      this.#sums[index] = Math.max(0, this.#sums[index]! + gained)
    })
  }
}

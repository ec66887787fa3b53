import type { BlockSide } from './blockNats.js'

/** Share of adverse calls in the last while. */
export class RecentRate {
  #calls = 0
  #adverse = 0

  get rate (): number {
    return this.#calls === 0 ? 0 : this.#adverse / this.#calls
  }

  /** Lets older calls weigh less. */
  forget (kept: number): void {
    this.#calls *= kept
    this.#adverse *= kept
  }

  add ({ calls, adverse }: BlockSide): void {
    this.#calls += calls
    this.#adverse += adverse
  }
}

import type { BlockSide } from './blockNats.js'

/** Share of adverse calls among recent calls, with exponential decay. */
export class RecentRate {
  #calls = 0
  #adverse = 0

  get rate (): number {
    return this.#calls === 0 ? 0 : this.#adverse / this.#calls
  }

  /** Scales down the weight of earlier calls. */
  decay (factor: number): void {
    this.#calls *= factor
    this.#adverse *= factor
  }

  add ({ calls, adverse }: BlockSide): void {
    this.#calls += calls
    this.#adverse += adverse
  }
}

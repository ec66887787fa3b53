import type { AdverseCalls } from './AdverseTest.js'

/** Calls of both versions that evidence rests on. */
export interface TallyCounts {
  readonly calls: AdverseCalls
  readonly failed: AdverseCalls
  readonly slow: AdverseCalls
}

const add = (left: AdverseCalls, right: AdverseCalls): AdverseCalls => ({ new: left.new + right.new, old: left.old + right.old })

const NONE: AdverseCalls = { new: 0, old: 0 }

/** Keeps count of the calls that the evidence in hand rests on, for words to operators. */
export class Tally {
  #calls = NONE
  #failed = NONE
  #slow = NONE

  clear (): void {
    this.#calls = NONE
    this.#failed = NONE
    this.#slow = NONE
  }

  add ({ calls, failed, slow }: TallyCounts): void {
    this.#calls = add(this.#calls, calls)
    this.#failed = add(this.#failed, failed)
    this.#slow = add(this.#slow, slow)
  }

  /** Share of the new version's calls that failed. */
  get failedShare (): number {
    return this.#failed.new / Math.max(1, this.#calls.new)
  }

  get slowShare (): number {
    return this.#slow.new / Math.max(1, this.#calls.new)
  }

  describeFailed (): string {
    return `${this.#failed.new} of ${this.#calls.new} calls failed against ${this.#failed.old} of ${this.#calls.old}`
  }

  describeSlow (limit: string): string {
    return `${this.#slow.new} of ${this.#calls.new} calls were slower${limit} against ${this.#slow.old} of ${this.#calls.old}`
  }
}

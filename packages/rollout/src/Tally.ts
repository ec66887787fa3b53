import type { Block } from './blockNats.js'

/** Calls of both versions that evidence rests on. */
export interface TallyCounts {
  readonly failed: Block
  readonly slow: Block
}

const add = (left: Block, right: Block): Block => ({
  new: { calls: left.new.calls + right.new.calls, adverse: left.new.adverse + right.new.adverse },
  old: { calls: left.old.calls + right.old.calls, adverse: left.old.adverse + right.old.adverse }
})

const NONE: Block = { new: { calls: 0, adverse: 0 }, old: { calls: 0, adverse: 0 } }

/** Keeps count of the calls that the evidence in hand rests on, for words to operators. */
export class Tally {
  #failed = NONE
  #slow = NONE

  clear (): void {
    this.#failed = NONE
    this.#slow = NONE
  }

  add ({ failed, slow }: TallyCounts): void {
    this.#failed = add(this.#failed, failed)
    this.#slow = add(this.#slow, slow)
  }

  /** Share of the new version's calls that failed. */
  get failedShare (): number {
    return this.#failed.new.adverse / Math.max(1, this.#failed.new.calls)
  }

  /** Share of the new version's calls that were slow. */
  get slowShare (): number {
    return this.#slow.new.adverse / Math.max(1, this.#slow.new.calls)
  }

  describeFailed (): string {
    const { new: fresh, old } = this.#failed
    return `${fresh.adverse} of ${fresh.calls} calls failed against ${old.adverse} of ${old.calls}`
  }

  describeSlow (limit: string): string {
    const { new: fresh, old } = this.#slow
    return `${fresh.adverse} of ${fresh.calls} calls were slower${limit} against ${old.adverse} of ${old.calls}`
  }
}

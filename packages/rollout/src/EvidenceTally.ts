import type { Block } from './blockNats.js'

/** The calls of both versions that the evidence is based on. */
export interface TallyCounts {
  readonly failed: Block
  readonly slow: Block
}

const addBlocks = (left: Block, right: Block): Block => ({
  new: { calls: left.new.calls + right.new.calls, adverse: left.new.adverse + right.new.adverse },
  old: { calls: left.old.calls + right.old.calls, adverse: left.old.adverse + right.old.adverse }
})

const EMPTY_BLOCK: Block = { new: { calls: 0, adverse: 0 }, old: { calls: 0, adverse: 0 } }

/** Counts the calls that the current evidence is based on, to describe it to operators. */
export class EvidenceTally {
  #failed = EMPTY_BLOCK
  #slow = EMPTY_BLOCK

  clear (): void {
    this.#failed = EMPTY_BLOCK
    this.#slow = EMPTY_BLOCK
  }

  add ({ failed, slow }: TallyCounts): void {
    this.#failed = addBlocks(this.#failed, failed)
    this.#slow = addBlocks(this.#slow, slow)
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
    const { new: newSide, old } = this.#failed
    return `${newSide.adverse} of ${newSide.calls} calls failed against ${old.adverse} of ${old.calls}`
  }

  describeSlow (limit: string): string {
    const { new: newSide, old } = this.#slow
    return `${newSide.adverse} of ${newSide.calls} calls were slower${limit} against ${old.adverse} of ${old.calls}`
  }
}

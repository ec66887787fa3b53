import type { Millis } from '@papayahill/common'
import { AdverseJudge } from './AdverseJudge.js'
import type { Looked } from './AdverseJudge.js'
import { blockNats } from './blockNats.js'
import type { Block, BlockSide } from './blockNats.js'
import {
  BLOCK_CALLS, BLOCK_SPAN, LOSS_SPAN, MAX_SUPPOSED_RATE, MIN_OLD_RATE, MIN_RATIO, RECENT_SPAN, SLOW_MIN_CALLS, SLOW_QUANTILE,
  SLOW_TOLERANCE_BUCKETS, SUPPOSED_FAILED_RATES, SUPPOSED_SLOW_RATES
} from './constants.js'
import type { RouteCounts } from './EvidenceCounts.js'
import { addCounts, BUCKET_COUNT, bucketStart, slowBucket, sumCounts } from './latencyBuckets.js'
import { RecentRate } from './RecentRate.js'
import { SideCounts } from './SideCounts.js'

type Stratum = 'plain' | 'cached'

const STRATA: readonly Stratum[] = ['plain', 'cached']

const scale = (counts: Float64Array, factor: number): void => {
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) counts[bucket]! *= factor
}

/** Evidence of a block for each supposed rate of the new version's adverse calls. */
const natsFor = (block: Block, supposed: readonly number[], oldRate: number): readonly number[] => {
  if (block.new.calls === 0 || block.old.calls === 0) return supposed.map(() => 0)
  const old = Math.min(MAX_SUPPOSED_RATE, Math.max(MIN_OLD_RATE, oldRate))
  return supposed.map((rate) => blockNats(block, Math.min(MAX_SUPPOSED_RATE, Math.max(rate, MIN_RATIO * old)), old))
}

/**
 * Judges the new version on one route against the old one at the same time, block by block.
 *
 * @example
 * const judge = new RouteJudge()
 * judge.update(delta, now)
 * judge.netNats
 */
export class RouteJudge {
  readonly #judge = new AdverseJudge()
  readonly #oldTimes: Readonly<Record<Stratum, Float64Array>> = {
    plain: new Float64Array(BUCKET_COUNT), cached: new Float64Array(BUCKET_COUNT)
  }

  readonly #oldFailed = new RecentRate()
  readonly #oldSlow = new RecentRate()
  readonly #block = { new: new SideCounts(), old: new SideCounts() }
  #blockBegan: Millis | undefined
  #judgedAt: Millis | undefined
  #lossUntil = -Infinity
  #slowFrom: number | undefined

  get nats (): number {
    return this.#judge.nats
  }

  get netNats (): number {
    return this.#judge.netNats
  }

  get isDoubtful (): boolean {
    return this.#judge.isDoubtful
  }

  /** The share was changed: calls before and after do not belong in one block. */
  shareSet (): void {
    this.#endBlock()
  }

  /** Takes in the calls that ended since the last update; what a block that is full says. */
  update (delta: RouteCounts, now: Millis): Looked | undefined {
    this.#block.new.add(delta.new)
    this.#block.old.add(delta.old)
    if (!this.#isBlockFull(now)) return undefined
    this.#forget(now)
    const looked = this.#look(now)
    this.#remember(looked)
    this.#endBlock()
    this.#judge.update(looked)
    return looked
  }

  /** Lets the evidence that holds back steps fade. */
  fade (kept: number): void {
    this.#judge.fade(kept)
  }

  /** The evidence in words and numbers. */
  describe (): string {
    return this.#judge.describe(this.#slowFrom === undefined ? '' : ` than ${Math.round(bucketStart(this.#slowFrom))} ms`)
  }

  /** Decided by the number of calls and time alone, never by how they ended. */
  #isBlockFull (now: Millis): boolean {
    const { new: fresh, old } = this.#block
    if (fresh.calls + old.calls === 0) return false
    this.#blockBegan ??= now
    if (fresh.calls === 0 || old.calls === 0) return false
    return fresh.calls + old.calls >= BLOCK_CALLS || now - this.#blockBegan >= BLOCK_SPAN
  }

  #endBlock (): void {
    this.#block.new.clear()
    this.#block.old.clear()
    this.#blockBegan = undefined
  }

  #look (now: Millis): Looked {
    const { new: fresh, old } = this.#block
    const failed: Block = {
      new: { calls: fresh.calls, adverse: fresh.failed + this.#losses(fresh, now) },
      old: { calls: old.calls, adverse: old.failed + old.lost }
    }
    const slow = this.#slowBlock()
    return {
      failed,
      slow,
      failedNats: natsFor(failed, SUPPOSED_FAILED_RATES, this.#oldFailed.rate),
      slowNats: natsFor(slow, SUPPOSED_SLOW_RATES, this.#oldSlow.rate)
    }
  }

  #losses (fresh: SideCounts, now: Millis): number {
    if (fresh.lost === 0 || now < this.#lossUntil) return 0
    this.#lossUntil = now + LOSS_SPAN
    return 1
  }

  /** The new version's calls count as slow some buckets later. */
  #slowBlock (): Block {
    const sides = { new: { calls: 0, adverse: 0 }, old: { calls: 0, adverse: 0 } }
    for (const stratum of STRATA) {
      const first = slowBucket(this.#oldTimes[stratum], SLOW_QUANTILE, SLOW_MIN_CALLS)
      if (first === undefined) continue
      this.#slowFrom = first
      addSide(sides.new, this.#block.new[stratum], first + SLOW_TOLERANCE_BUCKETS)
      addSide(sides.old, this.#block.old[stratum], first)
    }
    return sides
  }

  #forget (now: Millis): void {
    const kept = Math.exp(((this.#judgedAt ?? now) - now) / RECENT_SPAN)
    this.#judgedAt = now
    this.#oldFailed.forget(kept)
    this.#oldSlow.forget(kept)
    for (const stratum of STRATA) scale(this.#oldTimes[stratum], kept)
  }

  #remember ({ failed, slow }: Looked): void {
    this.#oldFailed.add(failed.old)
    this.#oldSlow.add(slow.old)
    for (const stratum of STRATA) addCounts(this.#oldTimes[stratum], this.#block.old[stratum])
  }
}

const addSide = (side: { -readonly [Key in keyof BlockSide]: BlockSide[Key] }, times: Float64Array, slowFrom: number): void => {
  side.calls += sumCounts(times)
  side.adverse += sumCounts(times, slowFrom)
}

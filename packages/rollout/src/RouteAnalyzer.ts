import type { Millis } from '@papayahill/common'
import { RegressionDetector } from './RegressionDetector.js'
import type { BlockEvidence } from './RegressionDetector.js'
import { blockNats } from './blockNats.js'
import type { Block, BlockSide } from './blockNats.js'
import {
  ASSUMED_FAILED_RATES, ASSUMED_SLOW_RATES, BLOCK_CALLS, BLOCK_SPAN, LOSS_SPAN, MAX_ASSUMED_RATE, MIN_OLD_RATE, MIN_RATIO,
  RECENT_SPAN, SLOW_MIN_CALLS, SLOW_QUANTILE, SLOW_TOLERANCE_BUCKETS
} from './constants.js'
import type { RouteCounts } from './EvidenceCounts.js'
import { addCounts, BUCKET_COUNT, bucketStart, firstSlowBucket, sumCounts } from './latencyBuckets.js'
import { RecentRate } from './RecentRate.js'
import { SideCounts } from './SideCounts.js'

type Stratum = 'plain' | 'cached'

const STRATA: readonly Stratum[] = ['plain', 'cached']

const scaleCounts = (counts: Float64Array, factor: number): void => {
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) counts[bucket]! *= factor
}

/** Evidence of a block for each assumed rate of the new version's adverse calls. */
const natsByRate = (block: Block, assumedRates: readonly number[], oldRate: number): readonly number[] => {
  if (block.new.calls === 0 || block.old.calls === 0) return assumedRates.map(() => 0)
  const old = Math.min(MAX_ASSUMED_RATE, Math.max(MIN_OLD_RATE, oldRate))
  return assumedRates.map((rate) => blockNats(block, Math.min(MAX_ASSUMED_RATE, Math.max(rate, MIN_RATIO * old)), old))
}

/**
 * Compares the new version with the old one on one route, in blocks of calls from the same period.
 *
 * @example
 * const analyzer = new RouteAnalyzer()
 * analyzer.update(delta, now)
 * analyzer.netNats
 */
export class RouteAnalyzer {
  readonly #detector = new RegressionDetector()
  readonly #oldTimes: Readonly<Record<Stratum, Float64Array>> = {
    plain: new Float64Array(BUCKET_COUNT), cached: new Float64Array(BUCKET_COUNT)
  }

  readonly #oldFailed = new RecentRate()
  readonly #oldSlow = new RecentRate()
  readonly #block = { new: new SideCounts(), old: new SideCounts() }
  #blockStartedAt: Millis | undefined
  #decayedAt: Millis | undefined
  #lossSpanEnd = -Infinity
  /** First bucket that counts as slow for the old version, for {@link describe}. */
  #slowFrom: number | undefined

  get nats (): number {
    return this.#detector.nats
  }

  get netNats (): number {
    return this.#detector.netNats
  }

  get shouldHold (): boolean {
    return this.#detector.shouldHold
  }

  /** Must be called when the share changes, since calls before and after must not share a block. */
  shareChanged (): void {
    this.#endBlock()
  }

  /** Adds the calls that ended since the last update; returns the evidence of the block if it is full. */
  update (delta: RouteCounts, now: Millis): BlockEvidence | undefined {
    this.#block.new.add(delta.new)
    this.#block.old.add(delta.old)
    if (!this.#isBlockFull(now)) return undefined
    this.#decay(now)
    const evidence = this.#evaluateBlock(now)
    this.#recordOld(evidence)
    this.#endBlock()
    this.#detector.update(evidence)
    return evidence
  }

  /** Scales down the evidence that holds back steps. */
  decay (factor: number): void {
    this.#detector.decay(factor)
  }

  /** Describes the evidence with call counts. */
  describe (): string {
    return this.#detector.describe(this.#slowFrom === undefined ? '' : ` than ${Math.round(bucketStart(this.#slowFrom))} ms`)
  }

  /** Depends only on time and the number of calls, never on outcomes, which would bias the test. */
  #isBlockFull (now: Millis): boolean {
    const { new: newCounts, old } = this.#block
    if (newCounts.calls + old.calls === 0) return false
    this.#blockStartedAt ??= now
    if (newCounts.calls === 0 || old.calls === 0) return false
    return newCounts.calls + old.calls >= BLOCK_CALLS || now - this.#blockStartedAt >= BLOCK_SPAN
  }

  #endBlock (): void {
    this.#block.new.clear()
    this.#block.old.clear()
    this.#blockStartedAt = undefined
  }

  #evaluateBlock (now: Millis): BlockEvidence {
    const { new: newCounts, old } = this.#block
    const failed: Block = {
      new: { calls: newCounts.calls, adverse: newCounts.failed + this.#countLosses(newCounts, now) },
      old: { calls: old.calls, adverse: old.failed + old.lost }
    }
    const slow = this.#slowBlock()
    return {
      failed,
      slow,
      failedNats: natsByRate(failed, ASSUMED_FAILED_RATES, this.#oldFailed.rate),
      slowNats: natsByRate(slow, ASSUMED_SLOW_RATES, this.#oldSlow.rate)
    }
  }

  #countLosses (newCounts: SideCounts, now: Millis): number {
    if (newCounts.lost === 0 || now < this.#lossSpanEnd) return 0
    this.#lossSpanEnd = now + LOSS_SPAN
    return 1
  }

  /** A call of the new version counts as slow only {@link SLOW_TOLERANCE_BUCKETS} above the old version's threshold. */
  #slowBlock (): Block {
    const sides = { new: { calls: 0, adverse: 0 }, old: { calls: 0, adverse: 0 } }
    for (const stratum of STRATA) {
      const first = firstSlowBucket(this.#oldTimes[stratum], SLOW_QUANTILE, SLOW_MIN_CALLS)
      if (first === undefined) continue
      this.#slowFrom = first
      addTimes(sides.new, this.#block.new[stratum], first + SLOW_TOLERANCE_BUCKETS)
      addTimes(sides.old, this.#block.old[stratum], first)
    }
    return sides
  }

  #decay (now: Millis): void {
    const factor = Math.exp(((this.#decayedAt ?? now) - now) / RECENT_SPAN)
    this.#decayedAt = now
    this.#oldFailed.decay(factor)
    this.#oldSlow.decay(factor)
    for (const stratum of STRATA) scaleCounts(this.#oldTimes[stratum], factor)
  }

  #recordOld ({ failed, slow }: BlockEvidence): void {
    this.#oldFailed.add(failed.old)
    this.#oldSlow.add(slow.old)
    for (const stratum of STRATA) addCounts(this.#oldTimes[stratum], this.#block.old[stratum])
  }
}

const addTimes = (side: { -readonly [Key in keyof BlockSide]: BlockSide[Key] }, times: Float64Array, slowFrom: number): void => {
  side.calls += sumCounts(times)
  side.adverse += sumCounts(times, slowFrom)
}

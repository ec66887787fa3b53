import type { Millis } from '@papayahill/common'
import { AdverseJudge } from './AdverseJudge.js'
import type { Looked } from './AdverseJudge.js'
import type { AdverseCalls } from './AdverseTest.js'
import {
  LOSS_SPAN, RECENT_SPAN, SHARE_PRIOR_CALLS, SLOW_MIN_CALLS, SLOW_QUANTILE, SLOW_TOLERANCE_BUCKETS
} from './constants.js'
import type { RouteCounts } from './EvidenceCounts.js'
import { addCounts, BUCKET_COUNT, bucketStart, slowBucket } from './latencyBuckets.js'
import type { SideCounts } from './SideCounts.js'

type Stratum = 'plain' | 'cached'

const STRATA: readonly Stratum[] = ['plain', 'cached']

const countFrom = (counts: Float64Array, first: number): number => {
  let sum = 0
  for (let bucket = first; bucket < BUCKET_COUNT; bucket++) sum += counts[bucket]!
  return sum
}

const scale = (counts: Float64Array, factor: number): void => {
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) counts[bucket]! *= factor
}

/**
 * Judges the new version on one route against the old one at the same time.
 *
 * @example
 * const judge = new RouteJudge(0.02)
 * judge.update(delta, now)
 * judge.netNats
 */
export class RouteJudge {
  readonly #judge = new AdverseJudge()
  readonly #oldTimes: Readonly<Record<Stratum, Float64Array>> = {
    plain: new Float64Array(BUCKET_COUNT), cached: new Float64Array(BUCKET_COUNT)
  }

  #recentNew = 0
  #recentOld = 0
  #judgedAt: Millis | undefined
  #lossUntil = -Infinity
  #slowFrom: number | undefined

  constructor (share: number) {
    this.shareSet(share)
  }

  get nats (): number {
    return this.#judge.nats
  }

  get netNats (): number {
    return this.#judge.netNats
  }

  get isDoubtful (): boolean {
    return this.#judge.isDoubtful
  }

  /** The share that instances aim at was changed. */
  shareSet (share: number): void {
    this.#recentNew = share * SHARE_PRIOR_CALLS
    this.#recentOld = (1 - share) * SHARE_PRIOR_CALLS
  }

  /** Takes in the calls that ended since the last update; what it made of them. */
  update (delta: RouteCounts, now: Millis): Looked | undefined {
    if (delta.new.calls + delta.old.calls === 0) return undefined
    this.#forget(now)
    const looked: Looked = {
      calls: { new: delta.new.calls, old: delta.old.calls },
      failed: { new: delta.new.failed + this.#losses(delta.new, now), old: delta.old.failed + delta.old.lost },
      slow: this.#slowCalls(delta),
      share: this.#shareOf(delta)
    }
    this.#remember(delta)
    this.#judge.update(looked)
    return looked
  }

  /** The evidence in words and numbers. */
  describe (): string {
    return this.#judge.describe(this.#slowFrom === undefined ? '' : ` than ${Math.round(bucketStart(this.#slowFrom))} ms`)
  }

  #forget (now: Millis): void {
    const passed = now - (this.#judgedAt ?? now)
    this.#judgedAt = now
    const kept = Math.exp(-passed / RECENT_SPAN)
    this.#recentNew *= kept
    this.#recentOld *= kept
    for (const stratum of STRATA) scale(this.#oldTimes[stratum], kept)
  }

  /** The larger of the recent share and that of these calls: too large a share understates the evidence. */
  #shareOf (delta: RouteCounts): number {
    const total = delta.new.calls + delta.old.calls
    this.#recentNew += delta.new.calls
    this.#recentOld += delta.old.calls
    const recent = this.#recentNew / (this.#recentNew + this.#recentOld)
    return total < SHARE_PRIOR_CALLS ? recent : Math.max(recent, delta.new.calls / total)
  }

  #losses (fresh: SideCounts, now: Millis): number {
    if (fresh.lost === 0 || now < this.#lossUntil) return 0
    this.#lossUntil = now + LOSS_SPAN
    return 1
  }

  /** The new version's calls count as slow some buckets later. */
  #slowCalls (delta: RouteCounts): AdverseCalls {
    let fresh = 0
    let old = 0
    for (const stratum of STRATA) {
      const first = slowBucket(this.#oldTimes[stratum], SLOW_QUANTILE, SLOW_MIN_CALLS)
      if (first === undefined) continue
      this.#slowFrom = first
      fresh += countFrom(delta.new[stratum], first + SLOW_TOLERANCE_BUCKETS)
      old += countFrom(delta.old[stratum], first)
    }
    return { new: fresh, old }
  }

  #remember (delta: RouteCounts): void {
    if (delta.old.calls === 0) return
    for (const stratum of STRATA) addCounts(this.#oldTimes[stratum], delta.old[stratum])
  }
}

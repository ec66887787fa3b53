import type { StageRecord } from '@papayahill/common'
import { z } from 'zod'
import { addCounts, BUCKET_COUNT, bucketOf, sumCounts } from './latencyBuckets.js'

const sparseCounts = z.array(z.number())

/** Wire format of {@link SideCounts}: calls, failed, lost, and pairs of bucket and count for plain and cached calls. */
export const sideSchema = z.tuple([z.number(), z.number(), z.number(), sparseCounts, sparseCounts])
export type PackedSide = z.infer<typeof sideSchema>

/** How the outcome of a call counts. Lost connections are separate from failures, since one restart cuts many calls. */
type OutcomeCategory = 'good' | 'failed' | 'lost' | 'cancelled' | 'ignored'

const CATEGORY_OF_OUTCOME: Readonly<Record<StageRecord['outcome'], OutcomeCategory>> = {
  done: 'good',
  failed: 'failed',
  'timed-out': 'failed',
  crossed: 'failed',
  cut: 'lost',
  'not-sent': 'lost',
  refused: 'ignored',
  cancelled: 'cancelled'
}

const packCounts = (counts: Float64Array): number[] => {
  const pairs: number[] = []
  counts.forEach((count, bucket) => { if (count > 0) pairs.push(bucket, count) })
  return pairs
}

const unpackCounts = (pairs: readonly number[], into: Float64Array): void => {
  for (let at = 0; at + 1 < pairs.length; at += 2) {
    const bucket = pairs[at]!
    if (bucket < BUCKET_COUNT) into[bucket] = pairs[at + 1]!
  }
}

/**
 * Grow-only counters of one version's calls on one route. Durations of calls with a cached prefix are counted separately,
 * so that the empty cache of a new endpoint does not make its version look slow. A cancelled call counts with the time it
 * had run, since callers of a slow version cancel.
 *
 * @example
 * const counts = new SideCounts()
 * counts.count(record)
 */
export class SideCounts {
  calls = 0
  failed = 0
  lost = 0
  /** Calls with a counted duration: successful ones, and cancelled ones with the time until the cancellation. */
  timed = 0
  readonly plain = new Float64Array(BUCKET_COUNT)
  readonly cached = new Float64Array(BUCKET_COUNT)

  get isEmpty (): boolean {
    return this.calls + this.timed === 0
  }

  /** Whether nothing was counted between `other` and this state of the same counters. */
  equals (other: SideCounts): boolean {
    return this.calls === other.calls && this.timed === other.timed
  }

  count (record: StageRecord): void {
    const category = CATEGORY_OF_OUTCOME[record.outcome]
    if (category === 'ignored') return
    if (category !== 'cancelled') this.calls++
    if (category === 'failed') this.failed++
    if (category === 'lost') this.lost++
    if (category === 'failed' || category === 'lost') return
    this.timed++
    const times = record.usage.tokensCached > 0 ? this.cached : this.plain
    times[bucketOf(record.took)]!++
  }

  add (other: SideCounts, factor = 1): void {
    if (other.isEmpty) return
    this.calls += factor * other.calls
    this.failed += factor * other.failed
    this.lost += factor * other.lost
    this.timed += factor * other.timed
    addCounts(this.plain, other.plain, factor)
    addCounts(this.cached, other.cached, factor)
  }

  /** The difference to `earlier`, an older state of the same counters. */
  since (earlier: SideCounts | undefined): SideCounts {
    const delta = new SideCounts()
    delta.add(this)
    if (earlier !== undefined) delta.add(earlier, -1)
    return delta
  }

  clear (): void {
    if (this.isEmpty) return
    this.calls = 0
    this.timed = 0
    this.failed = 0
    this.lost = 0
    this.plain.fill(0)
    this.cached.fill(0)
  }

  pack (): PackedSide {
    return [this.calls, this.failed, this.lost, packCounts(this.plain), packCounts(this.cached)]
  }

  static unpack ([calls, failed, lost, plain, cached]: PackedSide): SideCounts {
    const counts = new SideCounts()
    counts.calls = calls
    counts.failed = failed
    counts.lost = lost
    unpackCounts(plain, counts.plain)
    unpackCounts(cached, counts.cached)
    counts.timed = sumCounts(counts.plain) + sumCounts(counts.cached)
    return counts
  }
}

import type { StageRecord } from '@papayahill/common'
import { z } from 'zod'
import { addCounts, BUCKET_COUNT, bucketOf, sumCounts } from './latencyBuckets.js'

const sparse = z.array(z.number())

/** The wire form of {@link SideCounts}: calls, failed, lost, and pairs of bucket and count for both kinds of call. */
export const sideSchema = z.tuple([z.number(), z.number(), z.number(), sparse, sparse])
export type PackedSide = z.infer<typeof sideSchema>

/** How a call's end counts: a lost connection apart from a failure, since one restart cuts many calls. */
type Verdict = 'good' | 'failed' | 'lost' | 'cancelled' | 'ignored'

const VERDICTS: Readonly<Record<StageRecord['outcome'], Verdict>> = {
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
 * Grow-only counts of one version's calls on one route. Times of calls with a cached prefix are kept
 * apart, so that a new endpoint's empty cache does not make its version look slow. A cancelled call counts with
 * the time that it had run: callers of a slow version leave.
 *
 * @example
 * const counts = new SideCounts()
 * counts.count(record)
 */
export class SideCounts {
  calls = 0
  failed = 0
  lost = 0
  /** Calls whose time is counted: good ones, and cancelled ones with the time until then. */
  timed = 0
  readonly plain = new Float64Array(BUCKET_COUNT)
  readonly cached = new Float64Array(BUCKET_COUNT)

  get isEmpty (): boolean {
    return this.calls + this.timed === 0
  }

  /** Whether nothing was counted since the other state of the same counts. */
  isSame (other: SideCounts): boolean {
    return this.calls === other.calls && this.timed === other.timed
  }

  count (record: StageRecord): void {
    const verdict = VERDICTS[record.outcome]
    if (verdict === 'ignored') return
    if (verdict !== 'cancelled') this.calls++
    if (verdict === 'failed') this.failed++
    if (verdict === 'lost') this.lost++
    if (verdict === 'failed' || verdict === 'lost') return
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

  /** What was counted since `earlier`, an older state of the same counts. */
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

import type { RequestRecord, StageId, StageRecord } from '@papayahill/common'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { MAX_TIME_MS } from './constants.js'

/** Requests of one series that ended in one span of time. */
export class SliceStats {
  requests = 0
  met = 0
  refused = 0
  failed = 0
  /** Times of answered requests in milliseconds. */
  readonly took: Histogram
  /** Time that each stage took of requests that missed their target, in milliseconds. */
  readonly missedTime = new Map<StageId, number>()

  constructor (digits: number) {
    this.took = build({
      bitBucketSize: 32,
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_TIME_MS,
      numberOfSignificantValueDigits: digits as 1 | 2
    })
  }

  count (record: RequestRecord, stages: readonly StageRecord[]): void {
    this.requests++
    if (record.isTargetMet) this.met++
    if (record.outcome === 'refused') this.refused++
    if (record.outcome === 'failed') this.failed++
    if (record.outcome === 'answered') this.took.recordValue(Math.min(MAX_TIME_MS, Math.max(1, Math.round(record.took))))
    if (!record.isTargetMet) for (const stage of stages) this.#blame(stage)
  }

  add (other: SliceStats): void {
    this.requests += other.requests
    this.met += other.met
    this.refused += other.refused
    this.failed += other.failed
    this.took.add(other.took)
    for (const [stage, time] of other.missedTime) this.missedTime.set(stage, (this.missedTime.get(stage) ?? 0) + time)
  }

  /** The stage that took most of the time of requests that missed their target. */
  blame (): StageId | undefined {
    return [...this.missedTime].sort(([, left], [, right]) => right - left)[0]?.[0]
  }

  #blame ({ call, queued, took }: StageRecord): void {
    this.missedTime.set(call.stage, (this.missedTime.get(call.stage) ?? 0) + queued + took)
  }
}

import type { RequestRecord, StageId, StageRecord } from '@papayahill/common'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { MAX_LATENCY_MS } from './constants.js'

/** Statistics of the requests of one series that ended in one time slice. */
export class SliceStats {
  requests = 0
  met = 0
  refused = 0
  failed = 0
  /** Latencies of answered requests, in milliseconds. */
  readonly latencies: Histogram
  /** Time spent in each stage, including its queue, by requests that missed their target, in milliseconds. */
  readonly missedTime = new Map<StageId, number>()

  constructor (digits: number) {
    this.latencies = build({
      bitBucketSize: 32,
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_LATENCY_MS,
      numberOfSignificantValueDigits: digits as 1 | 2
    })
  }

  record (record: RequestRecord, stages: readonly StageRecord[]): void {
    this.requests++
    if (record.isTargetMet) this.met++
    if (record.outcome === 'refused') this.refused++
    if (record.outcome === 'failed') this.failed++
    if (record.outcome === 'answered') this.latencies.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(record.took))))
    if (!record.isTargetMet) for (const stage of stages) this.#addMissedTime(stage)
  }

  add (other: SliceStats): void {
    this.requests += other.requests
    this.met += other.met
    this.refused += other.refused
    this.failed += other.failed
    this.latencies.add(other.latencies)
    for (const [stage, time] of other.missedTime) this.missedTime.set(stage, (this.missedTime.get(stage) ?? 0) + time)
  }

  /** The stage that took the most time of the requests that missed their target. */
  slowestStage (): StageId | undefined {
    return [...this.missedTime].sort(([, left], [, right]) => right - left)[0]?.[0]
  }

  #addMissedTime ({ call, queued, took }: StageRecord): void {
    this.missedTime.set(call.stage, (this.missedTime.get(call.stage) ?? 0) + queued + took)
  }
}

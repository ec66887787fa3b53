import { millis, refusal } from '@papayahill/common'
import type { Clock, Failure, Millis, Random } from '@papayahill/common'
import type { EndpointPool } from '@papayahill/endpoints'
import type { ClassSettings, StageSettings } from '@papayahill/settings'
import { Result } from 'true-myth'
import type { Arrivals } from './Arrivals.js'
import type { CallTimes } from './CallTimes.js'
import { allowedTime, isTighter } from './ClassAttainment.js'
import type { Commitments } from './Commitments.js'
import {
  DEFAULT_CALL_TIME, MAX_RETRY_AFTER, MAX_WAIT_SHARE, MIN_RETRY_AFTER, MIN_USABLE_SHARE, RESERVE_MARGIN, RETRY_AFTER_SPREAD,
  UNOWNED_SERVICE_SLOTS, WAIT_GRACE, WAIT_SHARE, WAIT_SHARE_UNDER_FAIR
} from './constants.js'
import type { AdmissionRequest } from './types.js'

export interface AdmissionOptions {
  readonly clock: Clock
  readonly random: Random
  readonly pool: EndpointPool
  readonly times: CallTimes
  readonly commitments: Commitments
  readonly arrivals: Arrivals
}

/** Forecast wait and call time of a request, summed over the stages of its pipeline. */
interface AdmissionForecast {
  readonly wait: number
  readonly work: number
  /** A stage whose service has no slot for this instance. */
  readonly blocked?: StageSettings
}

/**
 * Decides at admission whether the whole pipeline can be finished in time, before any paid work is done.
 * Classes with tighter targets have precedence: capacity for their queued calls and expected arrivals is reserved.
 *
 * @example
 * const admitted = admission.decide(request)
 */
export class Admission {
  readonly #options: AdmissionOptions

  constructor (options: AdmissionOptions) {
    this.#options = options
  }

  decide (request: AdmissionRequest): Result<void, Failure> {
    const { arrivals, clock } = this.#options
    const now = clock.now()
    arrivals.recordOffered(request.class, request.pipeline, now)
    const forecast = this.#forecast(request)
    if (forecast.blocked !== undefined) return Result.err(this.#noEndpoint(forecast.blocked))
    const excess = forecast.wait - this.#allowedWait(request, forecast.work, now)
    if (excess > 0) return Result.err(this.#overCapacity(request.class, excess))
    arrivals.recordAdmitted(request.class.id, request.workspace, now)
    return Result.ok(undefined)
  }

  callTime (settings: ClassSettings, stage: StageSettings): Millis {
    const { times, pool } = this.#options
    return times.mean(settings.id, stage.id) ?? millis(pool.capacity(stage.service).meanCall || DEFAULT_CALL_TIME)
  }

  #forecast (request: AdmissionRequest): AdmissionForecast {
    let wait = 0
    let work = 0
    for (const stage of request.pipeline.stages) {
      const { slots, busy, load } = this.#options.pool.capacity(stage.service)
      if (slots === 0 && load === 0) return { wait, work, blocked: stage }
      const usable = this.#usableSlots(request.class, stage, Math.max(slots, UNOWNED_SERVICE_SLOTS)) / Math.max(1, load)
      const callTime = this.callTime(request.class, stage)
      const idleSlotTime = Math.max(0, slots - busy) * callTime
      const committedTime = Math.max(0, this.#committedTime(request.class, stage) - idleSlotTime)
      // Committed calls are also worked off while the request is still in its earlier stages.
      wait += Math.max(0, committedTime / usable - work - wait)
      work += callTime
    }
    return { wait, work }
  }

  /** Slots left for the class after reserving those for the arrivals of tighter classes. */
  #usableSlots (settings: ClassSettings, stage: StageSettings, slots: number): number {
    let reserved = 0
    const now = this.#options.clock.now()
    for (const arrivals of this.#options.arrivals.all()) {
      if (!isTighter(arrivals.class.target, settings.target)) continue
      const time = this.#serviceTime(arrivals.class, arrivals.pipeline.stages, stage)
      reserved += arrivals.offered.perMilli(now) * time
    }
    return Math.max(slots * MIN_USABLE_SHARE, slots - reserved * RESERVE_MARGIN)
  }

  #serviceTime (settings: ClassSettings, stages: readonly StageSettings[], at: StageSettings): number {
    let time = 0
    for (const stage of stages) if (stage.service === at.service) time += this.callTime(settings, stage)
    return time
  }

  /** Slot time needed by the queued calls of this class and of tighter ones. */
  #committedTime (settings: ClassSettings, stage: StageSettings): number {
    let committedTime = 0
    for (const calls of this.#options.commitments.pending(stage.service)) {
      if (isTighter(settings.target, calls.class.target)) continue
      committedTime += calls.waiting * this.callTime(calls.class, { id: calls.stage, service: stage.service })
    }
    return committedTime
  }

  #allowedWait (request: AdmissionRequest, work: number, now: Millis): number {
    const { target } = request.class
    const elapsed = now - request.startedAt
    const slack = Math.min(target.deadline - work, allowedTime(target)) - elapsed
    const isUnderFairShare = this.#options.arrivals.isUnderFairShare(request.class.id, request.workspace, now)
    const share = isUnderFairShare ? WAIT_SHARE_UNDER_FAIR : WAIT_SHARE
    return Math.min(slack * MAX_WAIT_SHARE, slack * share + WAIT_GRACE)
  }

  #noEndpoint (stage: StageSettings): Failure {
    const detail = `no endpoint of ${stage.service} takes work for stage ${stage.id} now`
    return refusal('no-endpoint', detail, { retryAfter: this.#retryAfter(0) })
  }

  #overCapacity (settings: ClassSettings, excess: number): Failure {
    const detail = `class ${settings.id} would wait ${Math.round(excess)} ms longer than its target allows`
    return refusal('over-capacity', detail, { retryAfter: this.#retryAfter(excess) })
  }

  /** Time to work off the excess wait, randomized so that callers do not retry at the same time. */
  #retryAfter (excess: number): Millis {
    const spread = 1 + RETRY_AFTER_SPREAD * this.#options.random.next()
    const bounded = Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, excess))
    return millis(Math.round(bounded * spread))
  }
}

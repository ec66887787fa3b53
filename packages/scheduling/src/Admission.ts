import { millis, refusal } from '@papayahill/common'
import type { Clock, Failure, Millis, Random } from '@papayahill/common'
import type { EndpointPool } from '@papayahill/endpoints'
import type { ClassSettings, StageSettings } from '@papayahill/settings'
import { Result } from 'true-myth'
import type { Arrivals } from './Arrivals.js'
import type { CallTimes } from './CallTimes.js'
import { allowedTime, isTighter } from './ClassStanding.js'
import type { Commitments } from './Commitments.js'
import {
  BORROWED_SLOTS, FIRST_GUESS, MAX_RETRY_AFTER, MAX_WAIT_SHARE, MIN_RETRY_AFTER, MIN_USABLE_SHARE, RESERVE_MARGIN,
  RETRY_AFTER_SPREAD, WAIT_GRACE, WAIT_SHARE, WAIT_SHARE_UNDER_FAIR
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

/** What a request would meet on its way through the pipeline. */
interface Outlook {
  readonly wait: number
  readonly work: number
  /** A stage's service without any slot for this instance. */
  readonly blocked?: StageSettings
}

/**
 * Decides at the entrance whether a whole pipeline can be finished in time, before anything of it is paid for.
 * Tighter classes go first: what they have been promised and what they are about to ask is set aside.
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
    arrivals.offered(request.class, request.pipeline, now)
    const outlook = this.#outlook(request)
    if (outlook.blocked !== undefined) return Result.err(this.#noEndpoint(outlook.blocked))
    const excess = outlook.wait - this.#allowedWait(request, outlook.work, now)
    if (excess > 0) return Result.err(this.#overCapacity(request.class, excess))
    arrivals.admitted(request.class.id, request.workspace, now)
    return Result.ok(undefined)
  }

  callTime (settings: ClassSettings, stage: StageSettings): Millis {
    const { times, pool } = this.#options
    return times.mean(settings.id, stage.id) ?? millis(pool.capacity(stage.service).meanCall || FIRST_GUESS)
  }

  #outlook (request: AdmissionRequest): Outlook {
    let wait = 0
    let work = 0
    for (const stage of request.pipeline.stages) {
      const { slots, busy, load } = this.#options.pool.capacity(stage.service)
      if (slots === 0 && load === 0) return { wait, work, blocked: stage }
      const usable = this.#usable(request.class, stage, Math.max(slots, BORROWED_SLOTS)) / Math.max(1, load)
      const callTime = this.callTime(request.class, stage)
      const idle = Math.max(0, slots - busy) * callTime
      const promised = Math.max(0, this.#promised(request.class, stage) - idle)
      wait += Math.max(0, promised / usable - work - wait)
      work += callTime
    }
    return { wait, work }
  }

  /** Slots left for the class once the arrivals of tighter classes have theirs. */
  #usable (settings: ClassSettings, stage: StageSettings, slots: number): number {
    let reserved = 0
    const now = this.#options.clock.now()
    for (const arrivals of this.#options.arrivals.all()) {
      if (!isTighter(arrivals.class.target, settings.target)) continue
      const time = this.#timeAt(arrivals.class, arrivals.pipeline.stages, stage)
      reserved += arrivals.offered.perMilli(now) * time
    }
    return Math.max(slots * MIN_USABLE_SHARE, slots - reserved * RESERVE_MARGIN)
  }

  #timeAt (settings: ClassSettings, stages: readonly StageSettings[], at: StageSettings): number {
    let time = 0
    for (const stage of stages) if (stage.service === at.service) time += this.callTime(settings, stage)
    return time
  }

  /** Slot time that waiting calls of this class and of tighter ones will take. */
  #promised (settings: ClassSettings, stage: StageSettings): number {
    let promised = 0
    for (const calls of this.#options.commitments.pending(stage.service)) {
      if (isTighter(settings.target, calls.class.target)) continue
      promised += calls.waiting * this.callTime(calls.class, { id: calls.stage, service: stage.service })
    }
    return promised
  }

  #allowedWait (request: AdmissionRequest, work: number, now: Millis): number {
    const { target } = request.class
    const spent = now - request.startedAt
    const slack = Math.min(target.deadline - work, allowedTime(target)) - spent
    const isUnder = this.#options.arrivals.isUnderFairShare(request.class.id, request.workspace, now)
    const share = isUnder ? WAIT_SHARE_UNDER_FAIR : WAIT_SHARE
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

  /** When the excess wait will have been worked off. */
  #retryAfter (excess: number): Millis {
    const spread = 1 + RETRY_AFTER_SPREAD * this.#options.random.next()
    const bounded = Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, excess))
    return millis(Math.round(bounded * spread))
  }
}

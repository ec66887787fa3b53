import { failure, millis, refusal } from '@papayahill/common'
import type {
  CallOutcome, ClassId, Clock, EventLog, Failure, Millis, Random, RequestId, ServiceId, StageId, Timer
} from '@papayahill/common'
import type { EndpointLease, EndpointPool } from '@papayahill/endpoints'
import type { OperatorConfig } from '@papayahill/settings'
import { Result } from 'true-myth'
import { Admission } from './Admission.js'
import { Arrivals } from './Arrivals.js'
import { CallTimes } from './CallTimes.js'
import { ClassAttainment } from './ClassAttainment.js'
import { Commitments } from './Commitments.js'
import { DEFAULT_CALL_TIME, MIN_CALL_TIME_SHARE, MIN_RETRY_AFTER, RETRY_MAX_LOAD, WAKE_PERIOD } from './constants.js'
import { SCHEDULING_EVENTS } from './events.js'
import { RetryBudget } from './RetryBudget.js'
import { ServiceQueue } from './ServiceQueue.js'
import type { AdmissionRequest, Scheduler, StageLeaseRequest } from './types.js'

export interface SchedulerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly pool: EndpointPool
  readonly config: () => OperatorConfig
  readonly log: EventLog
}

/**
 * Decides which requests are admitted and which call gets a slot next, from the local state of this instance alone.
 *
 * @example
 * const scheduler = new ServiceScheduler({ clock, random, pool, config: () => config, log })
 * scheduler.start()
 * if (scheduler.admit(request).isOk) await scheduler.withLease(leaseRequest, call)
 */
export class ServiceScheduler implements Scheduler {
  readonly #options: SchedulerOptions
  readonly #times = new CallTimes()
  readonly #attainment = new ClassAttainment()
  readonly #commitments = new Commitments()
  readonly #budget = new RetryBudget()
  readonly #admission: Admission
  readonly #queues = new Map<ServiceId, ServiceQueue>()
  readonly #refusing = new Set<ClassId>()
  #callCount = 0
  #timer: Timer | undefined

  constructor (options: SchedulerOptions) {
    this.#options = options
    const { clock, random, pool } = options
    const arrivals = new Arrivals()
    this.#admission = new Admission({
      clock, random, pool, arrivals, times: this.#times, commitments: this.#commitments
    })
  }

  start (): void {
    this.#timer ??= this.#options.clock.every(WAKE_PERIOD, () => this.#wakeAll())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  admit (request: AdmissionRequest): Result<void, Failure> {
    const decision = this.#admission.decide(request)
    this.#logAdmissionChange(request.class.id, decision)
    if (decision.isOk) this.#commitments.add(request.request, request.class, request.pipeline)
    return decision
  }

  finished (request: RequestId, isTargetMet = true): void {
    const settings = this.#commitments.remove(request)
    if (settings !== undefined) this.#attainment.record(settings, isTargetMet)
  }

  withLease<Value> (
    leaseRequest: StageLeaseRequest, use: (lease: EndpointLease) => Promise<Value>
  ): Promise<Result<Value, Failure>> {
    return new Promise((resolve, reject) => {
      const id = `${++this.#callCount}`
      const queue = this.#queueOf(leaseRequest.service)
      const fail = (cause: Failure): void => {
        stopWaiting()
        queue.remove(id)
        resolve(Result.err(cause))
      }
      const onAbort = (): void => fail(callerGone())
      const stopWaiting = (): void => {
        timer.cancel()
        leaseRequest.signal.removeEventListener('abort', onAbort)
      }
      const run = async (lease: EndpointLease): Promise<void> => {
        stopWaiting()
        this.#commitments.stageStarted(leaseRequest.request, leaseRequest.stage)
        const observedLease = this.#observeLease(leaseRequest, lease)
        const onError = (err: unknown): void => {
          observedLease.release('failed', millis(0))
          reject(err)
        }
        await use(observedLease).then((value) => resolve(Result.ok(value)), onError)
      }
      const timer = this.#options.clock.after(this.#maxWait(leaseRequest), () => fail(noSlotInTime(leaseRequest)))
      leaseRequest.signal.addEventListener('abort', onAbort, { once: true })
      if (leaseRequest.signal.aborted) onAbort()
      else queue.add({ id, leaseRequest, entry: this.#entryOf(leaseRequest), run })
    })
  }

  takeRetry (classId: ClassId, service: ServiceId): boolean {
    const isOverloaded = this.#options.pool.capacity(service).load >= RETRY_MAX_LOAD
    const isAllowed = !isOverloaded && this.#budget.tryTake(classId, service)
    if (!isAllowed) this.#options.log.emit(SCHEDULING_EVENTS.retryDenied, { class: classId, service, isOverloaded })
    return isAllowed
  }

  hasFreeSlot (service: ServiceId): boolean {
    const { slots, busy } = this.#options.pool.capacity(service)
    return busy < slots
  }

  forecast (classId: ClassId, stage: StageId, service: ServiceId): Millis {
    const meanCall = this.#options.pool.capacity(service).meanCall
    return this.#times.mean(classId, stage) ?? millis(meanCall || DEFAULT_CALL_TIME)
  }

  #entryOf (leaseRequest: StageLeaseRequest): { class: ClassId, workspace: StageLeaseRequest['workspace'], startBy: Millis } {
    const callTime = this.forecast(leaseRequest.class, leaseRequest.stage, leaseRequest.service)
    const endBy = Math.min(leaseRequest.stageDeadline, leaseRequest.softDeadline ?? Infinity)
    return { class: leaseRequest.class, workspace: leaseRequest.workspace, startBy: millis(endBy - callTime) }
  }

  /** Time after which the call could no longer end in time. */
  #maxWait (leaseRequest: StageLeaseRequest): Millis {
    const minCallTime = MIN_CALL_TIME_SHARE * this.forecast(leaseRequest.class, leaseRequest.stage, leaseRequest.service)
    return millis(Math.max(0, leaseRequest.stageDeadline - minCallTime - this.#options.clock.now()))
  }

  /** Wraps the lease so that its outcome is recorded for forecasts and the retry budget. */
  #observeLease (leaseRequest: StageLeaseRequest, lease: EndpointLease): EndpointLease {
    let isReleased = false
    const release = (outcome: CallOutcome, took: Millis, retryAfter?: Millis): void => {
      if (!isReleased) this.#recordOutcome(leaseRequest, outcome, took)
      isReleased = true
      lease.release(outcome, took, retryAfter)
    }
    const { endpoint, incarnation, version, domain, connection } = lease
    return { endpoint, incarnation, version, domain, connection, isUsable: () => lease.isUsable(), release }
  }

  #recordOutcome (leaseRequest: StageLeaseRequest, outcome: CallOutcome, took: Millis): void {
    if (outcome === 'timed-out') this.#times.recordAtLeast(leaseRequest.class, leaseRequest.stage, took)
    if (outcome !== 'done') return
    this.#times.record(leaseRequest.class, leaseRequest.stage, took)
    this.#budget.recordSuccess(leaseRequest.class, leaseRequest.service)
  }

  #queueOf (service: ServiceId): ServiceQueue {
    const known = this.#queues.get(service)
    if (known !== undefined) return known
    const queue = new ServiceQueue(this.#options.pool, service, (classId) => this.#attainment.boost(classId))
    this.#queues.set(service, queue)
    return queue
  }

  #wakeAll (): void {
    for (const queue of this.#queues.values()) if (queue.waiting > 0) queue.wake()
  }

  /** Logs one event when a class starts to be refused, and one when it is admitted again. */
  #logAdmissionChange (classId: ClassId, decision: Result<void, Failure>): void {
    const { log } = this.#options
    if (decision.isOk) {
      if (this.#refusing.delete(classId)) log.emit(SCHEDULING_EVENTS.admitting, { class: classId })
      return
    }
    if (this.#refusing.has(classId)) return
    this.#refusing.add(classId)
    const { kind, detail } = decision.error
    const event = kind === 'no-endpoint' ? SCHEDULING_EVENTS.noEndpoint : SCHEDULING_EVENTS.refusing
    log.emit(event, { class: classId, detail })
  }
}

/** Its `not-run` covers this stage only; the pipeline knows whether earlier stages ran. */
const noSlotInTime = (leaseRequest: StageLeaseRequest): Failure =>
  refusal('over-capacity', `stage ${leaseRequest.stage} got no slot in time`, { retryAfter: MIN_RETRY_AFTER })

const callerGone = (): Failure => failure('caller-gone', 'the caller disconnected', 'unknown')

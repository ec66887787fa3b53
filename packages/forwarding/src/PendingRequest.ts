import { afterArrivals, failure, millis, refusal } from '@papayahill/common'
import type { ArrivalReader, Clock, EventLog, Failure, Millis, Timer } from '@papayahill/common'
import { DEADLINE_PASSED, INSTANCE_STOPPED } from './abortReasons.js'
import { FINAL_ANSWER_GRACE, MIN_CALL_TIME, STOP_RETRY_AFTER } from './constants.js'
import { FORWARDING_EVENTS } from './events.js'
import type { ForwardRun } from './ForwardRun.js'
import type { RunEnd } from './RunEnds.js'
import type { CallerSink, ForwardRequest } from './types.js'

export interface PendingRequestOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly arrivals: Pick<ArrivalReader, 'catchUp'>
  readonly request: ForwardRequest
  readonly sink: CallerSink
}

/** The part of a request's run that decides how its deadline or a planned stop ends it. */
export type EndableRun = Pick<ForwardRun, 'phase' | 'isAnswering' | 'endAtStop' | 'endAtDeadline' | 'applyQuarantines'>

/** Why a request that still waits for its turn at its service ends, and nothing of it will ever run. */
type QueueEndCause = 'deadline' | 'stop' | 'caller-gone'

const QUEUE_ENDS: Readonly<Record<QueueEndCause, () => Failure>> = {
  deadline: () => refusal('over-capacity', 'the deadline passed before the request got its turn', { retryAfter: STOP_RETRY_AFTER }),
  stop: () => refusal('draining', 'the instance has stopped', { retryAfter: STOP_RETRY_AFTER }),
  'caller-gone': () => failure('caller-gone', 'the caller disconnected', 'unknown')
}

/**
 * A request without a final answer. It owns the request's deadline from its arrival to its end: whatever the request waits
 * for, it is ended in time, and its signal, by which all waits are cancelled, is aborted.
 *
 * @example
 * const pending = new PendingRequest({ clock, log, arrivals, request, sink })
 * const end = await pending.endOf(() => serve(pending.request))
 */
export class PendingRequest {
  /** The caller's request; its signal is also aborted when this one has ended it. */
  readonly request: ForwardRequest
  readonly #options: PendingRequestOptions
  readonly #controller = new AbortController()
  /** Aborted when the request ends while it still waits for its turn. */
  readonly #withdrawal = new AbortController()
  readonly #ended: Promise<RunEnd>
  #end: (end: RunEnd) => void = () => {}
  #run: EndableRun | undefined
  #timer: Timer

  constructor (options: PendingRequestOptions) {
    const { request } = options
    this.#options = options
    this.request = { ...request, signal: this.#controller.signal }
    this.#ended = new Promise((resolve) => { this.#end = resolve })
    this.#timer = this.#endBy(millis(request.deadline - MIN_CALL_TIME), () => this.#unsentIsLate())
  }

  /** Aborted when the request ends while it still waits for its turn. */
  get withdrawal (): AbortSignal {
    return this.#withdrawal.signal
  }

  /** Its end: that of its work, or an earlier one. */
  async endOf (work: () => Promise<RunEnd>): Promise<RunEnd> {
    const { signal } = this.#options.request
    const onAbort = (): void => this.#callerAborted()
    signal.addEventListener('abort', onAbort, { once: true })
    if (signal.aborted) onAbort()
    try {
      return await Promise.race([this.#ended, work()])
    } finally {
      this.#timer.cancel()
      signal.removeEventListener('abort', onAbort)
    }
  }

  /** The request has its turn. */
  begin (run: EndableRun): void {
    this.#run = run
  }

  applyQuarantines (): void {
    this.#run?.applyQuarantines()
  }

  /** A planned stop is over: ends the request unless a call decides how it ends. */
  stop (): void {
    this.#options.sink.abandon()
    if (this.#run === undefined) return this.#withdraw('stop')
    if (!isCalling(this.#run)) this.#end(this.#run.endAtStop())
  }

  #callerAborted (): void {
    const { reason } = this.#options.request.signal as { readonly reason: unknown }
    this.#controller.abort(reason)
    if (this.#run === undefined) this.#withdraw(reason === INSTANCE_STOPPED ? 'stop' : 'caller-gone')
  }

  #withdraw (cause: QueueEndCause): void {
    this.#end({ kind: 'failed', failure: QUEUE_ENDS[cause]() })
    this.#withdrawal.abort()
  }

  #endBy (time: Millis, onTime: () => void): Timer {
    const { clock, arrivals } = this.#options
    return afterArrivals(clock, arrivals, millis(Math.max(0, time - clock.now())), onTime)
  }

  /** Too little time is left for a call, so that a request without one cannot be answered any more. */
  #unsentIsLate (): void {
    const run = this.#run
    if (run !== undefined && isCalling(run)) {
      this.#timer = this.#endBy(millis(this.request.deadline + FINAL_ANSWER_GRACE), () => this.#callIsLate(run))
      return
    }
    this.#logExpired()
    if (run === undefined) this.#withdraw('deadline')
    else this.#end(run.endAtDeadline())
    this.#controller.abort(DEADLINE_PASSED)
  }

  /** The call has not ended by itself; a begun answer goes on by the rules of streams. */
  #callIsLate (run: EndableRun): void {
    if (run.isAnswering) return
    this.#logExpired()
    this.#end(run.endAtDeadline())
    this.#controller.abort(DEADLINE_PASSED)
  }

  #logExpired (): void {
    const { clock, log, request } = this.#options
    log.emit(FORWARDING_EVENTS.requestExpired, {
      request: request.attempt, route: request.route.name, phase: this.#run?.phase ?? 'queue', tookMs: millis(clock.now() - request.arrivedAt)
    })
  }
}

const isCalling = ({ phase }: EndableRun): boolean => phase === 'call' || phase === 'hand-over'

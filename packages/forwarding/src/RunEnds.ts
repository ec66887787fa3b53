import { failure, millis, RunGuard } from '@papayahill/common'
import type { Failure, Millis, ServiceId } from '@papayahill/common'
import { timeUntilAvailable } from '@papayahill/limits'
import type { Quarantine } from '@papayahill/quarantine'
import { DEADLINE_PASSED, INSTANCE_STOPPED } from './abortReasons.js'
import { MIN_CALL_TIME, MIN_RETRY_AFTER, STOP_RETRY_AFTER } from './constants.js'
import type { ForwardContext } from './ForwardContext.js'
import { logQuarantined } from './logQuarantined.js'
import { returnTimeOf } from './returnTimeOf.js'
import type { StreamRelay } from './StreamRelay.js'
import type { CallerSink, FailureCause, ForwardRequest } from './types.js'

/** How a request ended for its caller. */
export type RunEnd =
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'failed', readonly failure: Failure, readonly cause?: FailureCause | undefined }
  /** The answer had started and was aborted. */
  | { readonly kind: 'cut', readonly detail: string }

export interface RunEndsOptions {
  readonly context: ForwardContext
  readonly request: ForwardRequest
  readonly service: ServiceId
  readonly sink: CallerSink
  /** The answer of a streamed request. */
  readonly relay: StreamRelay | undefined
}

/**
 * The ends of a request that has no whole answer: refused if it has not run, else failed, or cut if its answer has begun.
 *
 * @example
 * ends.dispatched()
 * return ends.interrupted('the connection was reset') // a failure that does not say that nothing ran
 */
export class RunEnds {
  readonly #options: RunEndsOptions
  #guard = new RunGuard()
  /** Time after which the last peer that was asked may take requests again. */
  peerRetryAfter: Millis | undefined

  constructor (options: RunEndsOptions) {
    this.#options = options
  }

  /** A call is about to be sent. */
  dispatched (): void {
    this.#guard.dispatched()
  }

  /** No call of this request has run: its refusal may say so. */
  undoDispatch (): void {
    this.#guard = new RunGuard()
  }

  get isDispatched (): boolean {
    return this.#guard.isDispatched
  }

  get #isBegun (): boolean {
    return this.#options.relay?.isStarted === true
  }

  get #timeLeft (): Millis {
    return millis(this.#options.request.deadline - this.#options.context.clock.now())
  }

  /** The request may not be sent again. */
  retryDenied (detail: string): RunEnd {
    return this.#isBegun ? this.interrupted(detail) : this.refused('no-endpoint', detail)
  }

  timedOut (): RunEnd {
    if (this.isDispatched) return this.interrupted('the deadline passed')
    return this.refused('over-capacity', 'the deadline passed before the request was sent')
  }

  /** The answer cannot be completed: aborts it if it has started, else fails the request. */
  interrupted (detail: string): RunEnd {
    if (this.#isBegun) {
      this.#options.sink.cut()
      return { kind: 'cut', detail }
    }
    return this.#failed(this.#timeLeft < MIN_CALL_TIME ? 'deadline-passed' : 'stage-failed', detail)
  }

  refused (kind: 'no-endpoint' | 'over-capacity', detail: string, cause?: FailureCause): RunEnd {
    if (this.#isBegun) return this.interrupted(detail)
    const stopKind = this.#options.context.stopTime.isStopping ? 'draining' : kind
    return { kind: 'failed', failure: this.#guard.refuse(stopKind, detail, { retryAfter: this.#retryAfter() }), cause }
  }

  /** No endpoint may get the request: it is refused, or its answer is aborted if an earlier call had begun it. */
  quarantined (quarantine: Quarantine): RunEnd {
    const { context, request } = this.#options
    const { detail } = logQuarantined(context, request, quarantine)
    if (this.#isBegun) return this.interrupted(detail)
    return { kind: 'failed', failure: this.#guard.refuse('quarantined', detail), cause: 'quarantine' }
  }

  /** A peer refused the request, or it failed there. */
  failedAtPeer ({ kind, detail, run, retryAfter }: Failure): RunEnd {
    if (this.#options.request.signal.aborted) return this.aborted()
    if (this.#isBegun) return this.interrupted(detail)
    const options = retryAfter === undefined ? {} : { retryAfter }
    if (run !== 'not-run') return { kind: 'failed', failure: failure(kind, detail, run, options) }
    return { kind: 'failed', failure: this.#guard.refuse(kind, detail, options) }
  }

  /** Nobody waits for the request any more, this instance can wait for it no longer, or its deadline has passed. */
  aborted (): RunEnd {
    const { reason } = this.#options.request.signal as { readonly reason: unknown }
    if (reason === INSTANCE_STOPPED) return this.stopped()
    if (reason === DEADLINE_PASSED) return this.timedOut()
    return this.#failed('caller-gone', 'the caller disconnected')
  }

  stopped (): RunEnd {
    const detail = 'the instance has stopped'
    return this.isDispatched ? this.interrupted(detail) : this.refused('no-endpoint', detail)
  }

  #failed (kind: Failure['kind'], detail: string): RunEnd {
    return { kind: 'failed', failure: failure(kind, detail, 'unknown') }
  }

  #retryAfter (): Millis {
    const { context, service } = this.#options
    const { limits, directory, clock, stopTime } = context
    if (stopTime.isStopping) return STOP_RETRY_AFTER
    if (this.peerRetryAfter !== undefined) return this.peerRetryAfter
    const availableIn = timeUntilAvailable(limits, directory.usable(service), clock.now())
    return returnTimeOf(context, service, millis(Math.max(MIN_RETRY_AFTER, this.#timeLeft / 4, availableIn)))
  }
}

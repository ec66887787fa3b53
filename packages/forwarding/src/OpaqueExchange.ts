import { afterArrivals, millis } from '@papayahill/common'
import type { ArrivalReader, Clock, EventLog, Millis, Timer } from '@papayahill/common'
import { AnswerBody, isFramed, newStopper, stopExchange } from '@papayahill/connections'
import type { EndpointSocket, SocketAnswer, SocketFailure } from '@papayahill/connections'
import type { ServingRoute } from '@papayahill/directory'
import type { CallEffect, RequestLimits } from '@papayahill/limits'
import type { PathEvidence } from '@papayahill/reach'
import type { Result } from 'true-myth'
import {
  LATE_ANSWER_GRACE, MAX_BUFFERED_ANSWER, STREAM_SILENCE_GAPS, MIN_STREAM_SILENCE, SILENCE_CHECK_PERIOD, TIMER_SLACK
} from './constants.js'
import { EventScanner } from './EventScanner.js'
import { applyNotices } from './applyNotices.js'
import type { NoticeContext } from './applyNotices.js'
import type { StreamRelay } from './StreamRelay.js'
import type { AnswerNotices, CallEnd, CallObserver, CallStop, CallWire, OutboundCall } from './types.js'

export interface OpaqueExchangeOptions {
  readonly clock: Clock
  readonly arrivals: Pick<ArrivalReader, 'catchUp'>
  readonly log: EventLog
  readonly wire: CallWire
  readonly directory: NoticeContext['directory']
  readonly limits: Pick<RequestLimits, 'trySend' | 'callEnded'>
  readonly paths: PathEvidence
  /** Time without a byte after which the path to the endpoint is probed. */
  readonly probedSilence: Millis
  /** Whether the request may still be sent, asked once the connection is open. */
  readonly isAllowed: () => boolean
  readonly call: OutboundCall
  /** Receives a streamed answer. */
  readonly relay: StreamRelay | undefined
  /** Time without progress until the first event of a stream, or in an answer that is none, that counts as silence. */
  readonly hangTimeout: Millis
  /** Whether another call may take the place of this one. */
  readonly canBeReplaced: boolean
  readonly observer: CallObserver | undefined
  /** Called on the first byte of the answer's body. */
  readonly onFirstByte: () => void
  /** Called on the first event that the caller gets of a stream. */
  readonly onFirstEvent: () => void
  /** Called when the endpoint has sent nothing for long, and again and again while that lasts; only if the call can be replaced. */
  readonly onSilence: () => void
  /** Called when the endpoint sends again after a silence. */
  readonly onHeard: () => void
}

const STATUS_CONFLICT = 409
const STATUS_UNAVAILABLE = 503

/** Statuses by which an endpoint states that the request did not run; they count only together with its explicit notice. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/**
 * One call to an endpoint, from the first to the last byte, with an opaque body.
 *
 * @example
 * const end = await new OpaqueExchange(options).run(socket)
 */
export class OpaqueExchange {
  readonly #options: OpaqueExchangeOptions
  readonly #stopper = newStopper()
  readonly #body = new AnswerBody(MAX_BUFFERED_ANSWER)
  #status = 0
  #notices: AnswerNotices | undefined
  #scanner: EventScanner | undefined
  #isFramed = false
  #hasEvents = false
  #silenceTimer: Timer | undefined
  #isSilent = false
  /** Ends a call of which nothing has come by its deadline. */
  #unansweredTimer: Timer | undefined
  #deadlineTimer: Timer | undefined
  #probeTimer: Timer | undefined
  #lastByteAt: Millis = millis(0)
  #stopCause: string | undefined
  #stop: CallStop | undefined
  /** Whether the call was given up because nothing came in time, which alone is no failure of the endpoint. */
  #isHung = false
  /** Whether the request was not sent because the endpoint or the request had become unusable, or a limit left no token. */
  #isWithheld = false
  /** Whether the request was let out to be written. */
  #isStarted = false
  /** Whether the connection carried an earlier request. */
  #isConnectionUsed = false
  /** Whether this instance withdrew the request, which says nothing about the endpoint. */
  #isWithdrawn = false
  #sentAt: Millis = millis(0)
  /** Monotonic time of the first byte of the body. */
  firstByteAt: Millis | undefined

  constructor (options: OpaqueExchangeOptions) {
    this.#options = options
  }

  /** Monotonic time at which the request began to be written. */
  get sentAt (): Millis {
    return this.#sentAt
  }

  /** Why this instance ended the call; undefined if the endpoint did, or it goes on. */
  get stop (): CallStop | undefined {
    return this.#stop
  }

  /** Time since the last byte of the answer, or since the call began. */
  get silence (): Millis {
    return millis(this.#options.clock.now() - this.#lastByteAt)
  }

  async run (socket: EndpointSocket): Promise<CallEnd> {
    const { call, wire, clock, arrivals, hangTimeout } = this.#options
    const { method, path, body, signal } = call.request
    this.#isConnectionUsed = socket.isUsed
    const onAbort = (): void => this.#end('cancelled', 'the request was cancelled')
    signal.addEventListener('abort', onAbort, { once: true })
    if (signal.aborted) onAbort()
    this.#setSilenceTimer(hangTimeout)
    const onDeadline = (): void => this.#giveUp('deadline', 'the deadline passed')
    this.#unansweredTimer = afterArrivals(clock, arrivals, call.timeLeft, onDeadline)
    this.#deadlineTimer = afterArrivals(clock, arrivals, millis(call.timeLeft + LATE_ANSWER_GRACE), onDeadline)
    this.#watchPath()
    const result = await this.#exchange(socket, { method, path, headers: wire.headers(call), body })
    this.#silenceTimer?.cancel()
    this.#unansweredTimer.cancel()
    this.#deadlineTimer.cancel()
    this.#probeTimer?.cancel()
    signal.removeEventListener('abort', onAbort)
    const end = this.#endOf(result)
    const { limits } = this.#options
    if (this.#isStarted) limits.callEnded(call.endpoint, this.#effectOf(end), millis(clock.now() - this.#sentAt))
    this.#updateEndpointHealth(end)
    if (!this.#isConnectionReusable(end)) socket.close()
    return end
  }

  /** Ends the silent call, since another one takes its place. */
  replace (): void {
    this.#giveUp('silence', `no data for ${Math.round(this.silence)} ms`)
  }

  /** Stops the call on behalf of this instance. */
  withdraw (stop: 'quarantine' | 'superseded', cause: string): void {
    this.#isWithdrawn = true
    this.#end(stop, cause)
  }

  onStart (answer: SocketAnswer): void {
    const { wire, call, relay, paths } = this.#options
    paths.noteContact(call.endpoint)
    const notices = wire.readAnswer(answer)
    this.#status = answer.status
    this.#notices = notices
    const isOther = isOtherAttempt(notices, call.request.attempt, this.#isConnectionUsed)
    const isAuthentic = !isOther && (notices.isSigned || notices.isNotRun)
    applyNotices(this.#options, call.endpoint, notices, { sentAt: this.#sentAt, isAuthentic })
    if (isOther) return this.#end('foreign-answer', 'the answer belongs to another request')
    if (!notices.isNotRun && !notices.isOtherEndpoint) this.#options.observer?.answerBegan()
    const isStream = relay !== undefined && answer.status === 200 && notices.isEventStream && notices.isSigned
    if (isStream) this.#scanner = new EventScanner()
    this.#isFramed = isFramed(answer.headers)
    if (isStream) relay.start(answer.status, notices.headers)
  }

  onData (data: Buffer): void {
    this.#recordFirstByte()
    this.#lastByteAt = this.#options.clock.now()
    this.#options.paths.noteContact(this.#options.call.endpoint)
    if (this.#scanner !== undefined) return this.#relay(this.#scanner, data)
    this.#noteProgress(this.#options.hangTimeout)
    if (!this.#body.add(data)) this.#end('too-large', 'the answer is too large')
  }

  /** A call that cannot be written ends in a failure with `isSent` false: nothing was sent. */
  async #exchange (
    socket: EndpointSocket, req: Parameters<EndpointSocket['exchange']>[0]
  ): Promise<Result<void, SocketFailure>> {
    return await socket.exchange(req, this, this.#stopper)
  }

  /** Checked once the connection is open: the endpoint may have become unavailable since, or named a limit. */
  mayStart (): boolean {
    const { call: { endpoint }, clock, limits } = this.#options
    this.#sentAt = clock.now()
    this.#isWithheld = !endpoint.isAvailable(this.#sentAt) || !this.#options.isAllowed() || !limits.trySend(endpoint)
    this.#isStarted ||= !this.#isWithheld
    if (this.#isStarted) this.#options.observer?.sent()
    return !this.#isWithheld
  }

  /** What the end shows about the place that the call had at its endpoint. */
  #effectOf (end: CallEnd): CallEffect {
    if (end.kind === 'lost' || (end.kind === 'not-run' && !end.isReceived)) return 'unknown'
    return end.kind === 'not-run' && this.#status === STATUS_UNAVAILABLE ? 'rejected' : 'answered'
  }

  #recordFirstByte (): void {
    if (this.firstByteAt !== undefined) return
    this.firstByteAt = this.#options.clock.now()
    this.#options.onFirstByte()
  }

  #relay (scanner: EventScanner, data: Buffer): void {
    const { canBeReplaced, call, relay, onFirstEvent } = this.#options
    const events = relay?.forward(scanner, data, onFirstEvent) ?? 0
    this.#hasEvents ||= events > 0
    // Only complete events count as progress: bytes of an incomplete one do not show that the stream goes on.
    if (events > 0) this.#noteProgress(silenceTimeoutOf(call.request.route))
    if (events > 0 || !canBeReplaced) this.#unansweredTimer?.cancel()
    if (scanner.isOversized) this.#end('too-large', 'a stream event is too large')
  }

  #noteProgress (nextSilence: Millis): void {
    if (this.#isSilent) this.#options.onHeard()
    this.#isSilent = false
    this.#setSilenceTimer(nextSilence)
  }

  #setSilenceTimer (span: Millis): void {
    this.#silenceTimer?.cancel()
    const { clock, arrivals, canBeReplaced } = this.#options
    if (canBeReplaced) this.#silenceTimer = afterArrivals(clock, arrivals, span, () => this.#noteSilence())
  }

  #noteSilence (): void {
    const { paths, call, onSilence } = this.#options
    // Nothing is broken off where nothing was sent.
    if (!this.#isStarted) return this.replace()
    if (!this.#isSilent) paths.noteHang(call.endpoint)
    this.#isSilent = true
    this.#setSilenceTimer(SILENCE_CHECK_PERIOD)
    onSilence()
  }

  /** Reports each time in which no byte has come for long. */
  #watchPath (): void {
    const { clock, paths, probedSilence, call } = this.#options
    this.#lastByteAt = clock.now()
    this.#probeTimer = clock.every(probedSilence, () => {
      if (clock.now() - this.#lastByteAt >= probedSilence - TIMER_SLACK) paths.noteSilence(call.endpoint)
    })
  }

  #giveUp (stop: 'silence' | 'deadline', cause: string): void {
    this.#isHung = this.#stopCause === undefined
    this.#end(stop, cause)
  }

  #end (stop: CallStop, cause: string): void {
    this.#stop ??= stop
    this.#stopCause ??= cause
    stopExchange(this.#stopper)
  }

  #endOf (result: Result<void, SocketFailure>): CallEnd {
    if (result.isErr) return this.#endOfFailure(result.error)
    const notices = this.#notices
    if (this.#stopCause !== undefined) return lost(this.#stopCause)
    if (notices === undefined) return lost('the answer did not start')
    if (notices.isOtherEndpoint) return { kind: 'not-run', detail: 'another endpoint answers at its address', isReceived: true }
    if (notices.isNotRun && this.#status === STATUS_CONFLICT) return { kind: 'inputs-gone', detail: 'its inputs are no longer available' }
    if (notices.isNotRun) return { kind: 'not-run', detail: `the endpoint answered ${this.#status}`, isReceived: true }
    return this.#scanner === undefined ? this.#completeAnswer(notices) : this.#endOfStream(this.#scanner)
  }

  /** A stream without framing ends with its connection, which is no sign that it is whole if no event came. */
  #endOfStream ({ hasPartialEvent }: EventScanner): CallEnd {
    if (hasPartialEvent) return { kind: 'lost', detail: 'the stream ended in the middle of an event', isConnectionLost: true }
    if (!this.#isFramed && !this.#hasEvents) return { kind: 'lost', detail: 'the stream ended before its first event', isConnectionLost: true }
    return { kind: 'streamed' }
  }

  #completeAnswer (notices: AnswerNotices): CallEnd {
    const status = this.#status
    if (!notices.isSigned) return lost(`the answer ${status} has no signature`)
    if (NOT_RUN_STATUSES.has(status)) return lost(`the endpoint answered ${status} without a not-run notice`)
    return { kind: 'answered', status, headers: notices.headers, body: this.#body.bytes() }
  }

  #endOfFailure (error: SocketFailure): CallEnd {
    const detail = this.#stopCause ?? error.detail
    if (!error.isSent) return { kind: 'not-run', detail, isReceived: false, isRefused: error.isRefused }
    return { kind: 'lost', detail, isConnectionLost: this.#stopCause === undefined && !error.isNoAnswer }
  }

  #isConnectionReusable (end: CallEnd): boolean {
    if (end.kind === 'not-run') return end.isReceived
    return end.kind !== 'lost' || this.#stopCause === undefined
  }

  /** Updates the endpoint's health from the outcome of the call. */
  #updateEndpointHealth (end: CallEnd): void {
    const { call, clock, paths } = this.#options
    const { endpoint, request } = call
    if (end.kind === 'lost' && end.isConnectionLost) paths.noteNoContact(endpoint)
    if (request.signal.aborted || this.#isWithdrawn) return
    const now = clock.now()
    if (end.kind === 'not-run' && (this.#isWithheld || !endpoint.isAvailable(now))) return
    const isBroken = end.kind === 'lost' || (end.kind === 'not-run' && (!end.isReceived || this.#notices?.isOtherEndpoint === true))
    if (isBroken && this.#isHung && this.#isSilent) return
    if (isBroken && this.#isHung) paths.noteHang(endpoint)
    else if (isBroken) endpoint.noteConnectionFailure(now)
    else if (end.kind === 'answered') endpoint.noteAnswer(end.status < 500, now)
    else if (end.kind === 'streamed') endpoint.noteAnswer(true, now)
  }
}

const lost = (detail: string): CallEnd => ({ kind: 'lost', detail, isConnectionLost: false })

/**
 * Whether an answer belongs to another request: it names another attempt, or it names none and is signed or may be an
 * earlier refusal that is written again.
 */
const isOtherAttempt = ({ attempt, isSigned, isNotRun }: AnswerNotices, own: string, isConnectionUsed: boolean): boolean =>
  attempt === undefined ? isSigned || (isNotRun && isConnectionUsed) : attempt !== own

/** Pause after which a resumable stream is resumed at another endpoint; far above the longest gap of its route. */
const silenceTimeoutOf = ({ longestGap }: Pick<ServingRoute, 'longestGap'>): Millis =>
  millis(Math.max(MIN_STREAM_SILENCE, STREAM_SILENCE_GAPS * (longestGap ?? 0)))

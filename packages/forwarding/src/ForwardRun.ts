import { leastStageTime, StageGraphRun } from '@papayahill/batching'
import type { StageFailure, StageResult } from '@papayahill/batching'
import { failure, millis, RunGuard } from '@papayahill/common'
import type { DomainId, EndpointId, Failure, InstanceId, Millis, ServiceId } from '@papayahill/common'
import type { EndpointSocket } from '@papayahill/connections'
import type { Endpoint } from '@papayahill/directory'
import { timeUntilAvailable } from '@papayahill/limits'
import type { Quarantine } from '@papayahill/quarantine'
import { Result } from 'true-myth'
import {
  FIRST_PLACEMENT_TIMEOUT, MAX_CRASHES_PER_REQUEST, MAX_REJECTIONS, MAX_UNTAKEN, MIN_CALL_TIME, MIN_RETRY_AFTER, PLACEMENT_TIMEOUT,
  RESUMED_STAGES_FACTOR, STOP_ANSWER_FACTOR, STOP_RETRY_AFTER
} from './constants.js'
import { EndpointCall } from './EndpointCall.js'
import { FORWARDING_EVENTS } from './events.js'
import type { HandOverEnd } from './Detour.js'
import type { ForwardContext } from './ForwardContext.js'
import { isCutOff } from './isCutOff.js'
import { logQuarantined } from './logQuarantined.js'
import type { CallCheck } from './CallQuarantine.js'
import { RequestPlacement } from './RequestPlacement.js'
import type { CallPlacement } from './RequestPlacement.js'
import { returnTimeOf } from './returnTimeOf.js'
import { INSTANCE_STOPPED } from './StopTime.js'
import { StreamRelay } from './StreamRelay.js'
import type { CallEnd, CallerSink, FailureCause, ForwardRequest } from './types.js'

/** How a request ended for its caller. */
export type RunEnd =
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'failed', readonly failure: Failure, readonly cause?: FailureCause | undefined }
  /** The answer had started and was aborted. */
  | { readonly kind: 'cut', readonly detail: string }

type Step = RunEnd | 'again'

export interface ForwardRunOptions {
  readonly context: ForwardContext
  readonly request: ForwardRequest
  readonly service: ServiceId
  readonly sink: CallerSink
  readonly check: CallCheck
  /** Whether the request counts towards the retry budgets. */
  readonly isCounted: boolean
}

/**
 * Runs one admitted request: its stages first, then its calls, retried as far as route and retry budget allow.
 *
 * @example
 * const end = await new ForwardRun({ context, request, service, sink, check, isCounted: true }).run()
 */
export class ForwardRun {
  readonly #context: ForwardContext
  readonly #request: ForwardRequest
  readonly #service: ServiceId
  readonly #sink: CallerSink
  readonly #placement: RequestPlacement
  readonly #relay: StreamRelay | undefined
  readonly #exclude = new Set<EndpointId>()
  readonly #check: CallCheck
  /** Connections that have carried this request. */
  readonly #usedSockets = new Set<EndpointSocket>()
  #guard = new RunGuard()
  #graph: StageGraphRun | undefined
  #inputs: readonly StageResult[] = []
  #sendCount = 0
  #runCount = 0
  #rejections = 0
  #recomputeCount = 0
  /** Endpoints that this request may have crashed. */
  #crashCount = 0
  /** The call in progress. */
  #call: EndpointCall | undefined
  readonly #isCounted: boolean
  /** Whether the stages have run, or need not run. */
  #isStaged = false
  /** Peers that have not taken the request, or lost it. */
  readonly #triedPeers = new Set<InstanceId>()
  #untakenCount = 0
  #isHandedOver = false
  /** Whether an endpoint has begun to run the request. */
  #hasBegun = false
  /** Time after which the last peer that was asked may take requests again. */
  #peerRetryAfter: Millis | undefined

  constructor ({ context, request, service, sink, check, isCounted }: ForwardRunOptions) {
    this.#context = context
    this.#request = request
    this.#service = service
    this.#sink = sink
    this.#check = check
    this.#isCounted = isCounted
    this.#runCount = request.detoured?.runs ?? 0
    this.#placement = new RequestPlacement(context, request, service, check)
    const isStream = request.route.kind === 'streaming'
    if (isStream) this.#relay = new StreamRelay(context.clock, sink, request.resumeAfter)
  }

  /** The request's end if the instance stops now; undefined during a call or a hand-over, whose own end decides. */
  endAtStop (): RunEnd | undefined {
    return this.#call === undefined && !this.#isHandedOver ? this.#stopped() : undefined
  }

  async run (): Promise<RunEnd> {
    const onAbort = (): void => this.#graph?.cancel()
    this.#request.signal.addEventListener('abort', onAbort, { once: true })
    try {
      return await this.#execute()
    } finally {
      this.#request.signal.removeEventListener('abort', onAbort)
      this.#graph?.cancel()
    }
  }

  /** A quarantine has begun: stops whatever goes on for the request if it falls under it. */
  applyQuarantines (): void {
    if (this.#call !== undefined) this.#call.withdrawIfQuarantined()
    else if (this.#quarantine() !== undefined) this.#graph?.cancel()
  }

  /** The quarantine that keeps the request from all endpoints of its service. */
  #quarantine (): Quarantine | undefined {
    return this.#check.quarantineOf(this.#context.directory.usable(this.#service))
  }

  async #execute (): Promise<RunEnd> {
    for (;;) {
      const step = this.#isCutOff ? await this.#detour() : await this.#directStep()
      if (step !== 'again') return step
    }
  }

  get #isCutOff (): boolean {
    return isCutOff(this.#context, this.#request, this.#service)
  }

  async #directStep (): Promise<Step> {
    if (this.#isStaged) return await this.#attempt()
    if (await this.#isAborted()) return this.#aborted()
    const staged = await this.#runStages()
    if (staged.isErr) return this.#stagesFailed(staged.error)
    this.#isStaged = true
    return 'again'
  }

  /** Whether nobody waits for the request any more, including a caller's close that has not been read yet. */
  async #isAborted (): Promise<boolean> {
    await this.#context.arrivals.catchUp()
    return this.#request.signal.aborted
  }

  /** Time that is kept for the answer during a planned stop. */
  get #stopAnswerTime (): Millis {
    return millis(STOP_ANSWER_FACTOR * this.#context.answerTimes.mean(this.#request.route.name))
  }

  get #canEndBeforeStop (): boolean {
    const { clock, stopTime } = this.#context
    return clock.now() + this.#stopAnswerTime <= stopTime.endsAt
  }

  /** Whether a call may be repeated after one that may have run. */
  get #isRetryable (): boolean {
    const { kind, isResumable } = this.#request.route
    return kind === 'safe' || (kind === 'streaming' && isResumable)
  }

  get #timeLeft (): Millis {
    return millis(this.#request.deadline - this.#context.clock.now())
  }

  async #runStages (): Promise<Result<void, StageFailure>> {
    const { route, pieceCounts, attempt, pieceKey, priority, arrivedAt, deadline } = this.#request
    if (route.stages.length === 0 || pieceCounts.every((count) => count === 0)) return Result.ok(undefined)
    const { stages, clock, log, firstEvents } = this.#context
    const answerTime = firstEvents.mean(route.name)
    this.#graph = new StageGraphRun(stages, {
      request: attempt,
      stages: route.stages,
      counts: pieceCounts,
      key: pieceKey,
      priority,
      due: this.#relay?.isStarted === true ? this.#resumedDue() : millis(arrivedAt + route.target - answerTime),
      deadline: millis(deadline - MIN_CALL_TIME),
      answerTime: this.#stopAnswerTime,
      engineDomain: this.#preferredDomain(),
      isAllowedIn: this.#request.isAllowedIn
    })
    const begunAt = clock.now()
    const results = await this.#graph.run()
    const outcome = results.isOk ? 'made' : results.error.fault
    log.emit(FORWARDING_EVENTS.stagesEnded, { request: attempt, outcome, tookMs: millis(clock.now() - begunAt) })
    if (results.isErr) return Result.err(results.error)
    this.#inputs = results.value
    return Result.ok(undefined)
  }

  /** The caller of an interrupted stream soon disconnects, so its stages are due as if they did not have to queue. */
  #resumedDue (): Millis {
    const { clock, stages } = this.#context
    const { route, pieceCounts } = this.#request
    return millis(clock.now() + RESUMED_STAGES_FACTOR * leastStageTime(route.stages, pieceCounts, stages.profileOf))
  }

  /** Failure domain of the engine that fits the request best, so that stages run close to it. */
  #preferredDomain (): DomainId | undefined {
    return this.#placement.choose(this.#callPlacement)?.domain
  }

  #stagesFailed ({ fault, stage }: StageFailure): RunEnd {
    const quarantine = this.#quarantine()
    if (quarantine !== undefined) return this.#quarantined(quarantine)
    if (fault === 'late') return this.#refused('over-capacity', `stage ${stage} could not be run in time`, 'late-stage')
    return this.#refused('no-endpoint', `stage ${stage} failed: ${fault}`)
  }

  /** The end of a request that must not be sent any more; undefined if it may be. */
  async #endUnsent (): Promise<RunEnd | undefined> {
    if (await this.#isAborted()) return this.#aborted()
    if (!this.#canEndBeforeStop) return this.#retryDenied('the instance stops before an answer could be complete')
    if (this.#timeLeft < MIN_CALL_TIME) return this.#timedOut()
    const quarantine = this.#quarantine()
    return quarantine === undefined ? undefined : this.#quarantined(quarantine)
  }

  /** Hands the whole request over to a peer, with its stages. */
  async #detour (): Promise<Step> {
    const ended = await this.#endUnsent()
    if (ended !== undefined) return ended
    const { detour, stopTime } = this.#context
    const to = this.#untakenCount < MAX_UNTAKEN ? detour.choose(this.#request, this.#service, this.#triedPeers) : undefined
    if (to === undefined) return this.#noPath()
    this.#triedPeers.add(to.id)
    this.#context.unsent.delete(this.#service, this.#request)
    this.#graph?.cancel()
    this.#inputs = []
    this.#isStaged = false
    this.#guard.dispatched()
    this.#isHandedOver = true
    const end = await detour.handOver({
      request: this.#request,
      service: this.#service,
      to,
      runs: this.#runCount,
      isCounted: this.#isCounted,
      endsAt: millis(Math.min(this.#request.deadline, stopTime.endsAt)),
      relay: this.#relay
    })
    this.#isHandedOver = false
    return this.#handOverEnded(end)
  }

  #handOverEnded (end: HandOverEnd): Step {
    switch (end.kind) {
      case 'streamed':
        this.#relay?.end()
        return { kind: 'answered', status: 200 }
      case 'answered':
        if (this.#relay?.isStarted === true) return this.#interrupted(`a peer answered ${end.status} instead of resuming the stream`)
        this.#sink.answer(end.status, end.headers, end.body)
        return { kind: 'answered', status: end.status }
      case 'not-taken':
        this.#undoDispatch()
        this.#untakenCount++
        this.#peerRetryAfter = end.retryAfter
        return this.#request.signal.aborted ? this.#aborted() : this.#retry(end.detail)
      case 'failed': return this.#failedAtPeer(end.failure)
      case 'lost':
        this.#runCount = Math.max(this.#runCount, end.runs)
        if (this.#request.signal.aborted) return this.#aborted()
        return this.#isRetryable && this.#tryTakeRetry() ? this.#retry(end.detail) : this.#interrupted(end.detail)
    }
  }

  /** No call of this request has run: its refusal may say so. */
  #undoDispatch (): void {
    if (this.#runCount === 0) this.#guard = new RunGuard()
  }

  #failedAtPeer ({ kind, detail, run, retryAfter }: Failure): RunEnd {
    if (run === 'not-run') this.#undoDispatch()
    if (this.#request.signal.aborted) return this.#aborted()
    if (this.#relay?.isStarted === true) return this.#interrupted(detail)
    const options = retryAfter === undefined ? {} : { retryAfter }
    if (run !== 'not-run') return { kind: 'failed', failure: failure(kind, detail, run, options) }
    return { kind: 'failed', failure: this.#guard.refuse(kind, detail, options) }
  }

  #noPath (): RunEnd {
    const detail = `no path to an endpoint of ${this.#service}, nor a peer that takes the request`
    return this.#guard.isDispatched ? this.#interrupted(detail) : this.#refused('no-endpoint', detail)
  }

  async #attempt (): Promise<Step> {
    const ended = await this.#endUnsent()
    if (ended !== undefined) return ended
    const endpoint = await this.#place()
    if (endpoint === undefined) {
      if (this.#isCutOff) return 'again'
      const late = this.#quarantine()
      if (late !== undefined) return this.#quarantined(late)
      const cause = this.#placement.wasLimited ? 'limit' : undefined
      return this.#refused('no-endpoint', `no endpoint of ${this.#service} can accept the request`, cause)
    }
    const socket = this.#context.connections.acquire(endpoint, this.#usedSockets)
    if (socket === undefined) {
      this.#exclude.add(endpoint.id)
      return this.#rejected('the endpoint has no free connection')
    }
    return await this.#send(endpoint, socket)
  }

  async #send (endpoint: Endpoint, socket: EndpointSocket): Promise<Step> {
    const context = this.#context
    const request = this.#request
    const call = new EndpointCall({
      context,
      request,
      endpoint,
      check: this.#check,
      relay: this.#relay,
      inputs: this.#inputs,
      number: ++this.#sendCount,
      canRetry: this.#isRetryable && this.#runCount + 1 < request.route.maxAttempts,
      onInputsRead: () => this.#graph?.release(),
      onBegun: () => this.#noteBegun()
    })
    context.unsent.delete(this.#service, request)
    request.detoured?.onRun(this.#runCount + 1)
    this.#guard.dispatched()
    this.#call = call
    this.#usedSockets.add(socket)
    const end = await call.run(socket)
    this.#call = undefined
    return await this.#handleEnd(endpoint, end)
  }

  /** A request counts once, however many calls it takes. */
  #noteBegun (): void {
    if (this.#hasBegun) return
    this.#hasBegun = true
    this.#context.runs?.requestBegan(this.#request)
  }

  async #handleEnd (endpoint: Endpoint, end: CallEnd): Promise<Step> {
    switch (end.kind) {
      case 'streamed':
        this.#relay?.end()
        return { kind: 'answered', status: 200 }
      case 'answered': return this.#answered(endpoint, end)
      case 'not-run': return this.#notRun(endpoint, end)
      case 'inputs-gone': return await this.#inputsGone(end.detail)
      case 'lost': return await this.#lost(endpoint, end)
    }
  }

  #answered (endpoint: Endpoint, { status, headers, body }: Extract<CallEnd, { kind: 'answered' }>): Step {
    this.#runCount++
    const isFailure = status >= 500
    if (isFailure && this.#request.route.kind === 'safe' && this.#tryTakeRetry()) {
      this.#exclude.add(endpoint.id)
      return this.#retry(`the endpoint answered ${status}`)
    }
    if (this.#relay?.isStarted === true) return this.#interrupted(`the endpoint answered ${status} instead of resuming the stream`)
    this.#sink.answer(status, headers, body)
    return { kind: 'answered', status }
  }

  #notRun (endpoint: Endpoint, { detail, isReceived }: Extract<CallEnd, { kind: 'not-run' }>): Step {
    this.#undoDispatch()
    this.#exclude.add(endpoint.id)
    if (this.#request.signal.aborted) return this.#aborted()
    if (isReceived && !this.#context.retries.tryTake(this.#service, 1)) return this.#retryDenied(detail)
    return this.#rejected(detail)
  }

  async #inputsGone (detail: string): Promise<Step> {
    this.#undoDispatch()
    if (this.#recomputeCount++ > 0 || !this.#context.retries.tryTake(this.#service, 1)) return this.#retryDenied(detail)
    this.#graph?.cancel()
    const staged = await this.#runStages()
    return staged.isErr ? this.#stagesFailed(staged.error) : 'again'
  }

  async #lost (endpoint: Endpoint, { detail, isConnectionLost }: Extract<CallEnd, { kind: 'lost' }>): Promise<Step> {
    this.#runCount++
    this.#exclude.add(endpoint.id)
    if (this.#request.signal.aborted) return this.#aborted()
    const quarantine = this.#quarantine()
    if (quarantine !== undefined) return this.#quarantined(quarantine)
    if (isConnectionLost && this.#mayHaveCrashedTooMany(endpoint)) return this.#interrupted(detail)
    if (!this.#isRetryable || !this.#tryTakeRetry()) return this.#interrupted(detail)
    if (this.#relay !== undefined && this.#relay.events > 0 && this.#inputs.length > 0) {
      const staged = await this.#recomputeInputs()
      if (staged.isErr) return this.#interrupted(`${detail}; its inputs could not be recomputed`)
    }
    return this.#retry(detail)
  }

  /**
   * Whether this request, with this endpoint, may have crashed too many. A stream that had begun is a bystander, unless other
   * attempts of the request were lost with endpoints as well.
   */
  #mayHaveCrashedTooMany (endpoint: Endpoint): boolean {
    const before = this.#check.crashesBefore(endpoint)
    if ((this.#relay?.events ?? 0) > 0) return before >= MAX_CRASHES_PER_REQUEST
    this.#crashCount++
    return Math.max(this.#crashCount, before + 1) >= MAX_CRASHES_PER_REQUEST
  }

  async #recomputeInputs (): Promise<Result<void, StageFailure>> {
    this.#graph?.cancel()
    return await this.#runStages()
  }

  #tryTakeRetry (): boolean {
    if (this.#runCount >= this.#request.route.maxAttempts || this.#timeLeft < MIN_CALL_TIME) return false
    const isAllowed = this.#context.retries.tryTake(this.#service, 1)
    if (!isAllowed) this.#context.log.emit(FORWARDING_EVENTS.retryDenied, { request: this.#request.attempt, service: this.#service })
    return isAllowed
  }

  #retry (detail: string): Step {
    this.#context.log.emit(FORWARDING_EVENTS.requestAgain, { request: this.#request.attempt, runs: this.#runCount, detail })
    return 'again'
  }

  #rejected (detail: string): Step {
    if (++this.#rejections > MAX_REJECTIONS && !this.#isCutOff) return this.#retryDenied(detail)
    return this.#retry(detail)
  }

  #retryDenied (detail: string): RunEnd {
    return this.#relay?.isStarted === true ? this.#interrupted(detail) : this.#refused('no-endpoint', detail)
  }

  #timedOut (): RunEnd {
    if (this.#guard.isDispatched) return this.#interrupted('the deadline passed')
    return this.#refused('over-capacity', 'the deadline passed before the request was sent')
  }

  /** The answer cannot be completed: aborts it if it has started, else fails the request. */
  #interrupted (detail: string): RunEnd {
    if (this.#relay?.isStarted === true) {
      this.#sink.cut()
      return { kind: 'cut', detail }
    }
    return this.#failed(this.#timeLeft < MIN_CALL_TIME ? 'deadline-passed' : 'stage-failed', detail)
  }

  #refused (kind: 'no-endpoint' | 'over-capacity', detail: string, cause?: FailureCause): RunEnd {
    if (this.#relay?.isStarted === true) return this.#interrupted(detail)
    const stopKind = this.#context.stopTime.isStopping ? 'draining' : kind
    return { kind: 'failed', failure: this.#guard.refuse(stopKind, detail, { retryAfter: this.#retryAfter() }), cause }
  }

  /** No endpoint may get the request: it is refused, or its answer is aborted if an earlier call had begun it. */
  #quarantined (quarantine: Quarantine): RunEnd {
    const { detail } = logQuarantined(this.#context, this.#request, quarantine)
    if (this.#relay?.isStarted === true) return this.#interrupted(detail)
    return { kind: 'failed', failure: this.#guard.refuse('quarantined', detail), cause: 'quarantine' }
  }

  /** Nobody waits for the request any more, or this instance can wait for it no longer. */
  #aborted (): RunEnd {
    if (this.#request.signal.reason === INSTANCE_STOPPED) return this.#stopped()
    return this.#failed('caller-gone', 'the caller disconnected')
  }

  #stopped (): RunEnd {
    const detail = 'the instance has stopped'
    return this.#guard.isDispatched ? this.#interrupted(detail) : this.#refused('no-endpoint', detail)
  }

  #failed (kind: Failure['kind'], detail: string): RunEnd {
    return { kind: 'failed', failure: failure(kind, detail, 'unknown') }
  }

  #retryAfter (): Millis {
    const { limits, directory, clock, stopTime } = this.#context
    if (stopTime.isStopping) return STOP_RETRY_AFTER
    if (this.#peerRetryAfter !== undefined) return this.#peerRetryAfter
    const availableIn = timeUntilAvailable(limits, directory.usable(this.#service), clock.now())
    return returnTimeOf(this.#context, this.#service, millis(Math.max(MIN_RETRY_AFTER, this.#timeLeft / 4, availableIn)))
  }

  /** Waits for an endpoint that can accept the request; longer if a refusal would waste earlier work. */
  async #place (): Promise<Endpoint | undefined> {
    const maxWait = this.#inputs.length > 0 || this.#relay?.isStarted === true ? PLACEMENT_TIMEOUT : FIRST_PLACEMENT_TIMEOUT
    const { clock, stopTime } = this.#context
    const until = Math.min(clock.now() + maxWait, this.#request.deadline - MIN_CALL_TIME, stopTime.endsAt)
    return await this.#placement.place(this.#callPlacement, millis(until))
  }

  get #callPlacement (): CallPlacement {
    return { exclude: this.#exclude, inputs: this.#inputs, canReuseExcluded: this.#runCount === 0 || this.#isRetryable }
  }
}

import { leastStageTime, StageGraphRun } from '@papayahill/batching'
import type { StageFailure, StageResult } from '@papayahill/batching'
import { failure, millis, RunGuard } from '@papayahill/common'
import type { DomainId, EndpointId, Failure, Millis, ServiceId, Tokens } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { timeUntilAvailable } from '@papayahill/limits'
import { Result } from 'true-myth'
import {
  FIRST_PLACEMENT_TIMEOUT, HANG_TIMEOUT_TARGETS, INPUT_BYTES_PER_MILLI, INPUT_READ_DELAY, MAX_LOGGED_PARTS,
  MAX_REJECTIONS, MIN_CALL_TIME, MIN_HANG_TIMEOUT, MIN_RETRY_AFTER, PLACEMENT_TIMEOUT, RESUMED_STAGES_FACTOR
} from './constants.js'
import { FORWARDING_EVENTS } from './events.js'
import type { ForwardContext } from './ForwardContext.js'
import { firstByteTimeoutOf, OpaqueExchange } from './OpaqueExchange.js'
import { RequestPlacement } from './RequestPlacement.js'
import type { CallPlacement } from './RequestPlacement.js'
import { returnTimeOf } from './returnTimeOf.js'
import { StreamRelay } from './StreamRelay.js'
import type { CallEnd, CallerSink, FailureCause, ForwardRequest } from './types.js'
import type { VersionCall } from './VersionGate.js'

/** How a request ended for its caller. */
export type RunEnd =
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'failed', readonly failure: Failure, readonly cause?: FailureCause | undefined }
  /** The answer had started and was aborted. */
  | { readonly kind: 'cut', readonly detail: string }

type Step = RunEnd | 'again'

/**
 * Runs one admitted request: its stages first, then its calls, retried as far as route and retry budget allow.
 *
 * @example
 * const end = await new ForwardRun(context, request, service, sink).run()
 */
export class ForwardRun {
  readonly #context: ForwardContext
  readonly #request: ForwardRequest
  readonly #service: ServiceId
  readonly #sink: CallerSink
  readonly #placement: RequestPlacement
  readonly #relay: StreamRelay | undefined
  readonly #exclude = new Set<EndpointId>()
  #guard = new RunGuard()
  #graph: StageGraphRun | undefined
  #inputs: readonly StageResult[] = []
  #sendCount = 0
  #runCount = 0
  #rejections = 0
  #recomputeCount = 0

  constructor (context: ForwardContext, request: ForwardRequest, service: ServiceId, sink: CallerSink) {
    this.#context = context
    this.#request = request
    this.#service = service
    this.#sink = sink
    this.#placement = new RequestPlacement(context, request, service)
    const isStream = request.route.kind === 'streaming'
    if (isStream) this.#relay = new StreamRelay(context.clock, sink, request.resumeAfter)
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

  async #execute (): Promise<RunEnd> {
    if (await this.#hasCallerDisconnected()) return this.#callerGone()
    const staged = await this.#runStages()
    if (staged.isErr) return this.#stagesFailed(staged.error)
    for (;;) {
      const step = await this.#attempt()
      if (step !== 'again') return step
    }
  }

  /** Whether the caller has disconnected, including a close that has not been read yet. */
  async #hasCallerDisconnected (): Promise<boolean> {
    await this.#context.arrivals.catchUp()
    return this.#request.signal.aborted
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
    if (fault === 'late') return this.#refused('over-capacity', `stage ${stage} could not be run in time`, 'late-stage')
    return this.#refused('no-endpoint', `stage ${stage} failed: ${fault}`)
  }

  async #attempt (): Promise<Step> {
    if (await this.#hasCallerDisconnected()) return this.#callerGone()
    if (this.#timeLeft < MIN_CALL_TIME) return this.#timedOut()
    const endpoint = await this.#place()
    if (endpoint === undefined) {
      const cause = this.#placement.wasLimited ? 'limit' : undefined
      return this.#refused('no-endpoint', `no endpoint of ${this.#service} can accept the request`, cause)
    }
    const socket = this.#context.connections.acquire(endpoint)
    if (socket === undefined) {
      this.#exclude.add(endpoint.id)
      return this.#rejected('the endpoint has no free connection')
    }
    return await this.#send(endpoint, socket)
  }

  async #send (endpoint: Endpoint, socket: Parameters<OpaqueExchange['run']>[0]): Promise<Step> {
    const request = this.#request
    const { clock, log, coldStarts, engines, versions, connections, unsent } = this.#context
    const startedAt = clock.now()
    const call = versions.recordCall(endpoint, request.route)
    const exchange = this.#exchangeWith(endpoint, call)
    coldStarts.recordDispatch(endpoint)
    endpoint.running++
    const uncachedTokens = request.prompt === undefined ? undefined : engines.recordDispatch(endpoint, request.prompt)
    const eventsBefore = this.#relay?.events ?? 0
    this.#sendCount++
    unsent.delete(this.#service, request)
    log.emit(FORWARDING_EVENTS.requestPlaced, this.#placeFields(endpoint, uncachedTokens))
    this.#guard.dispatched()
    const releaseTimer = clock.after(this.#inputReadTime(), () => this.#graph?.release())
    const end = await exchange.run(socket)
    releaseTimer.cancel()
    endpoint.running--
    if (uncachedTokens !== undefined) engines.recordCallEnd(endpoint, uncachedTokens)
    const took = millis(clock.now() - startedAt)
    connections.release(endpoint, socket)
    call.callEnded(end, request.signal.aborted)
    this.#noteFirstEvent(exchange, startedAt)
    const detail = 'detail' in end ? end.detail : undefined
    const status = 'status' in end ? end.status : undefined
    const events = (this.#relay?.events ?? 0) - eventsBefore
    const parts = end.kind === 'lost' && events === 0 ? this.#loggedParts() : undefined
    log.emit(FORWARDING_EVENTS.callEnded, {
      request: request.attempt, endpoint: endpoint.id, outcome: end.kind, status, detail, events, parts, tookMs: took
    })
    return await this.#handleEnd(endpoint, end)
  }

  /** Parts of the prompt that requests have in common, for the log of a call that was lost before its answer began. */
  #loggedParts (): string | undefined {
    return this.#request.prompt?.parts.slice(0, -1).slice(0, MAX_LOGGED_PARTS).map(({ id }) => id).join(' ')
  }

  /** Time after sending by which the endpoint has read the request's inputs. */
  #inputReadTime (): Millis {
    const size = this.#inputs.reduce((sum, { resultBytes }) => sum + resultBytes, 0)
    return millis(INPUT_READ_DELAY + size / INPUT_BYTES_PER_MILLI)
  }

  #noteFirstEvent ({ firstByteAt }: OpaqueExchange, startedAt: Millis): void {
    const { name, kind } = this.#request.route
    if (firstByteAt !== undefined && kind === 'streaming') this.#context.firstEvents.record(name, millis(firstByteAt - startedAt))
  }

  #placeFields (endpoint: Endpoint, uncachedTokens: Tokens | undefined): Record<string, string | number | undefined> {
    const { clock } = this.#context
    const { load } = endpoint
    return {
      request: this.#request.attempt,
      endpoint: endpoint.id,
      send: this.#sendCount,
      own: endpoint.running,
      load: load === undefined ? undefined : load.running + load.waiting,
      loadAgeMs: load === undefined ? undefined : clock.now() - load.at,
      unread: uncachedTokens,
      config: this.#request.configVersion,
      timeLeftMs: this.#timeLeft
    }
  }

  #exchangeWith (endpoint: Endpoint, versionCall: VersionCall): OpaqueExchange {
    const { clock, log, wire, directory, limits, firstEvents } = this.#context
    const { route } = this.#request
    const canRetry = this.#isRetryable && this.#runCount + 1 < route.maxAttempts
    const usualFirstEvent = route.kind === 'streaming' ? firstEvents.mean(route.name) : 0
    const hangTimeout = millis(Math.max(MIN_HANG_TIMEOUT, HANG_TIMEOUT_TARGETS * (route.target + usualFirstEvent)))
    const hasStages = route.stages.length > 0
    return new OpaqueExchange({
      clock,
      log,
      wire,
      directory,
      limits,
      relay: this.#relay === undefined ? undefined : this.#releaseOnFirstEvent(this.#relay),
      firstByteTimeout: firstByteTimeoutOf(this.#timeLeft, hangTimeout, canRetry),
      canSwitchEndpoint: canRetry,
      onFirstByte: () => versionCall.answerBegan(),
      call: {
        request: this.#request,
        endpoint,
        inputs: hasStages ? this.#inputs.map((input) => input.handle) : undefined,
        resumeAfter: this.#relay?.resumeAfter,
        timeLeft: this.#timeLeft
      }
    })
  }

  /** Releases the stage results with the first event: by then the engine has read its inputs. */
  #releaseOnFirstEvent (relay: StreamRelay): StreamRelay {
    relay.onFirstEvent = () => this.#graph?.release()
    return relay
  }

  async #handleEnd (endpoint: Endpoint, end: CallEnd): Promise<Step> {
    switch (end.kind) {
      case 'streamed':
        this.#relay?.end()
        return { kind: 'answered', status: 200 }
      case 'answered': return this.#answered(endpoint, end)
      case 'not-run': return this.#notRun(endpoint, end)
      case 'inputs-gone': return await this.#inputsGone(end.detail)
      case 'lost': return await this.#lost(endpoint, end.detail)
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
    if (this.#runCount === 0) this.#guard = new RunGuard()
    this.#exclude.add(endpoint.id)
    if (this.#request.signal.aborted) return this.#callerGone()
    if (isReceived && !this.#context.retries.tryTake(this.#service, 1)) return this.#retryDenied(detail)
    return this.#rejected(detail)
  }

  async #inputsGone (detail: string): Promise<Step> {
    if (this.#runCount === 0) this.#guard = new RunGuard()
    if (this.#recomputeCount++ > 0 || !this.#context.retries.tryTake(this.#service, 1)) return this.#retryDenied(detail)
    this.#graph?.cancel()
    const staged = await this.#runStages()
    return staged.isErr ? this.#stagesFailed(staged.error) : 'again'
  }

  async #lost (endpoint: Endpoint, detail: string): Promise<Step> {
    this.#runCount++
    this.#exclude.add(endpoint.id)
    if (this.#request.signal.aborted) return this.#callerGone()
    if (!this.#isRetryable || !this.#tryTakeRetry()) return this.#interrupted(detail)
    if (this.#relay !== undefined && this.#relay.events > 0 && this.#inputs.length > 0) {
      const staged = await this.#recomputeInputs()
      if (staged.isErr) return this.#interrupted(`${detail}; its inputs could not be recomputed`)
    }
    return this.#retry(detail)
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
    if (++this.#rejections > MAX_REJECTIONS) return this.#retryDenied(detail)
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
    return { kind: 'failed', failure: this.#guard.refuse(kind, detail, { retryAfter: this.#retryAfter() }), cause }
  }

  #callerGone (): RunEnd {
    return this.#failed('caller-gone', 'the caller disconnected')
  }

  #failed (kind: Failure['kind'], detail: string): RunEnd {
    return { kind: 'failed', failure: failure(kind, detail, 'unknown') }
  }

  #retryAfter (): Millis {
    const { limits, directory, clock } = this.#context
    const availableIn = timeUntilAvailable(limits, directory.usable(this.#service), clock.now())
    return returnTimeOf(this.#context, this.#service, millis(Math.max(MIN_RETRY_AFTER, this.#timeLeft / 4, availableIn)))
  }

  /** Waits for an endpoint that can accept the request; longer if a refusal would waste earlier work. */
  async #place (): Promise<Endpoint | undefined> {
    const maxWait = this.#inputs.length > 0 || this.#relay?.isStarted === true ? PLACEMENT_TIMEOUT : FIRST_PLACEMENT_TIMEOUT
    const until = Math.min(this.#context.clock.now() + maxWait, this.#request.deadline - MIN_CALL_TIME)
    return await this.#placement.place(this.#callPlacement, millis(until))
  }

  get #callPlacement (): CallPlacement {
    return { exclude: this.#exclude, inputs: this.#inputs, canReuseExcluded: this.#runCount === 0 || this.#isRetryable }
  }
}

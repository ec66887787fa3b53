import type { StageResult } from '@papayahill/batching'
import { millis } from '@papayahill/common'
import type { Millis, Tokens } from '@papayahill/common'
import type { EndpointSocket } from '@papayahill/connections'
import type { Endpoint } from '@papayahill/directory'
import { allowedSlowness } from './allowedSlowness.js'
import { CallTiming } from './CallTiming.js'
import {
  HANG_TIMEOUT_TARGETS, INPUT_BYTES_PER_MILLI, INPUT_READ_DELAY, MAX_LOGGED_PARTS, MIN_HANG_TIMEOUT, PLAIN_SILENCE, STREAM_SILENCE,
  USUAL_SILENCE_FACTOR
} from './constants.js'
import { FORWARDING_EVENTS } from './events.js'
import { fingerprintOf } from './fingerprintOf.js'
import type { ForwardContext } from './ForwardContext.js'
import { mayHaveRun } from './mayHaveRun.js'
import { OpaqueExchange } from './OpaqueExchange.js'
import type { CallCheck } from './CallQuarantine.js'
import type { StreamRelay } from './StreamRelay.js'
import type { CallEnd, CallObserver, ForwardRequest } from './types.js'
import type { VersionCall } from './VersionGate.js'

export interface EndpointCallOptions {
  readonly context: ForwardContext
  readonly request: ForwardRequest
  readonly endpoint: Endpoint
  readonly check: CallCheck
  /** Receives a streamed answer. */
  readonly relay: StreamRelay | undefined
  /** Stage results that the endpoint reads first. */
  readonly inputs: readonly StageResult[]
  /** Number of this call among those of the request, from 1. */
  readonly number: number
  /** Whether the request may be sent to another endpoint if this call is lost. */
  readonly canRetry: boolean
  readonly observer: CallObserver | undefined
  /** Called when the endpoint has sent nothing for long, and again and again while that lasts; only if the request may be sent again. */
  readonly onSilence: () => void
  /** Called when the endpoint sends again after a silence. */
  readonly onHeard: () => void
  /** Called once the endpoint has read the inputs. */
  readonly onInputsRead: () => void
  /** Called when the endpoint has begun to run the request. */
  readonly onBegun: () => void
}

/**
 * One call of a request to an endpoint, with everything that is counted, logged and learned from it.
 *
 * @example
 * const end = await new EndpointCall(options).run(socket)
 */
export class EndpointCall {
  readonly #options: EndpointCallOptions
  readonly #versionCall: VersionCall
  readonly #exchange: OpaqueExchange
  readonly #startedAt: Millis
  readonly #eventsBefore: number
  readonly #timing: CallTiming
  #isBegun: boolean
  #isWithdrawn = false

  constructor (options: EndpointCallOptions) {
    const { context, endpoint, request, relay } = options
    this.#options = options
    this.#startedAt = context.clock.now()
    this.#eventsBefore = relay?.events ?? 0
    this.#isBegun = this.#eventsBefore > 0
    this.#versionCall = context.versions.recordCall(endpoint, request.route)
    this.#timing = new CallTiming(context.performance, endpoint, request, this.#promptTokens)
    this.#exchange = this.#newExchange()
  }

  get endpoint (): Endpoint {
    return this.#options.endpoint
  }

  /** Takes the request back from the endpoint if it or parts of it have come under quarantine, unless its answer has begun. */
  withdrawIfQuarantined (): void {
    const { check, endpoint } = this.#options
    if (this.#isBegun || !check.mustWithdraw(endpoint)) return
    this.#isWithdrawn = true
    this.#exchange.withdraw('quarantine', 'the request or a part of it is under quarantine')
  }

  /** Ends the call, since the one that it was to replace goes on. */
  cancel (): void {
    this.#isWithdrawn = true
    this.#exchange.withdraw('superseded', 'the call before it goes on')
  }

  /** Ends the silent call, since another one takes its place. */
  replace (): void {
    this.#exchange.replace()
  }

  async run (socket: EndpointSocket): Promise<CallEnd> {
    const { context: { clock, coldStarts, engines, log, connections, runs }, request, endpoint, check } = this.#options
    coldStarts.recordDispatch(endpoint)
    endpoint.running++
    runs?.callBegan(endpoint)
    const uncachedTokens = request.prompt === undefined ? undefined : engines.recordDispatch(endpoint, request.prompt)
    log.emit(FORWARDING_EVENTS.requestPlaced, this.#placeFields(uncachedTokens))
    check.callSent()
    const releaseTimer = clock.after(this.#inputReadTime(), this.#options.onInputsRead)
    const end = await this.#exchange.run(socket)
    releaseTimer.cancel()
    endpoint.running--
    if (uncachedTokens !== undefined) engines.recordCallEnd(endpoint, uncachedTokens)
    connections.release(endpoint, socket)
    this.#versionCall.callEnded(end, request.signal.aborted || this.#isWithdrawn)
    this.#noteRun(end)
    this.#noteTimes(end)
    this.#learnPerformance(end)
    this.#noteCrash(end)
    this.#logEnd(end)
    return end
  }

  #newExchange (): OpaqueExchange {
    const { context, request, endpoint, check, relay, inputs, canRetry, observer, onSilence, onHeard } = this.#options
    const { clock, arrivals, log, wire, directory, limits, firstEvents, paths } = context
    const { route } = request
    const usualFirstEvent = route.kind === 'streaming' ? firstEvents.mean(route.name) : 0
    const hangTimeout = millis(Math.max(MIN_HANG_TIMEOUT, HANG_TIMEOUT_TARGETS * (route.target + usualFirstEvent)) * this.#slowness)
    return new OpaqueExchange({
      clock,
      arrivals,
      log,
      wire,
      directory,
      limits,
      paths,
      probedSilence: this.#probedSilence,
      isAllowed: () => !check.mustWithdraw(endpoint),
      relay,
      hangTimeout,
      canBeReplaced: canRetry,
      observer,
      onFirstByte: () => this.#answerBytesBegan(),
      onFirstEvent: () => this.#noteFirstEvent(),
      onSilence,
      onHeard,
      call: {
        request,
        endpoint,
        inputs: route.stages.length > 0 ? inputs.map((input) => input.handle) : undefined,
        resumeAfter: relay?.resumeAfter,
        timeLeft: this.#timeLeft
      }
    })
  }

  /** Time without a byte that is unusual on the route. */
  get #probedSilence (): Millis {
    const { context: { firstEvents, answerTimes }, request: { route } } = this.#options
    const isStream = route.kind === 'streaming'
    const usual = (isStream ? firstEvents : answerTimes).mean(route.name)
    return millis(Math.max(isStream ? STREAM_SILENCE : PLAIN_SILENCE, USUAL_SILENCE_FACTOR * usual * this.#slowness))
  }

  /** How much longer than usual the answer may take at this endpoint; 1 where that is not learnt. */
  get #slowness (): number {
    const { context: { performance }, request: { prompt }, endpoint } = this.#options
    return allowedSlowness(performance, endpoint, prompt === undefined ? 'plain' : 'prompt')
  }

  get #timeLeft (): Millis {
    return millis(this.#options.request.deadline - this.#options.context.clock.now())
  }

  /** The first event shows that the engine has read its inputs, and that no part of the prompt has crashed it. */
  #noteFirstEvent (): void {
    this.#options.onBegun()
    this.#options.onInputsRead()
    this.#answerBegan()
  }

  #answerBytesBegan (): void {
    this.#versionCall.answerBegan()
    if (this.#options.relay === undefined) this.#answerBegan()
  }

  #answerBegan (): void {
    const { check, endpoint } = this.#options
    this.#isBegun = true
    check.answerBegan(endpoint, this.#startedAt)
  }

  /** Time after sending by which the endpoint has read the request's inputs. */
  #inputReadTime (): Millis {
    const size = this.#options.inputs.reduce((sum, { resultBytes }) => sum + resultBytes, 0)
    return millis(INPUT_READ_DELAY + size / INPUT_BYTES_PER_MILLI)
  }

  /** A call that was lost may have run, unlike one that the endpoint says it did not run. */
  #noteRun (end: CallEnd): void {
    const { context: { clock, runs }, endpoint, relay } = this.#options
    const hasRun = mayHaveRun(end)
    if (hasRun && relay === undefined) this.#options.onBegun()
    runs?.callEnded(endpoint, hasRun ? millis(clock.now() - this.#startedAt) : undefined)
  }

  #noteTimes (end: CallEnd): void {
    const { context: { clock, firstEvents, answerTimes }, request: { route } } = this.#options
    const { firstByteAt } = this.#exchange
    const isWhole = (end.kind === 'answered' || end.kind === 'streamed') && this.#eventsBefore === 0
    if (isWhole) answerTimes.record(route.name, millis(clock.now() - this.#startedAt))
    if (firstByteAt !== undefined && route.kind === 'streaming') firstEvents.record(route.name, millis(firstByteAt - this.#startedAt))
  }

  /** Prompt tokens that the engine reads before it generates; undefined at a plain service. */
  get #promptTokens (): number | undefined {
    const { context: { engines }, request: { prompt }, endpoint } = this.#options
    return prompt === undefined ? undefined : engines.pendingTokens(endpoint, prompt)
  }

  #learnPerformance (end: CallEnd): void {
    const { context: { clock, engines }, endpoint, relay } = this.#options
    const { sentAt, firstByteAt } = this.#exchange
    const events = (relay?.events ?? 0) - this.#eventsBefore
    this.#timing.ended(end, { sentAt, firstByteAt, endedAt: clock.now() }, events)
    if (end.kind === 'streamed') engines.recordSteps(endpoint.service, events)
  }

  #noteCrash (end: CallEnd): void {
    const { context: { callQuarantine }, check, endpoint, canRetry } = this.#options
    if (end.kind === 'not-run' && end.isRefused === true) callQuarantine.endpointRefused(endpoint)
    const unbegunLoss = canRetry ? 'sent-on' : 'for-good'
    if (end.kind === 'lost' && end.isConnectionLost) check.callLost(endpoint, this.#isBegun ? 'midway' : unbegunLoss)
    if (end.kind === 'answered' || end.kind === 'streamed') check.answerEnded(endpoint)
  }

  #placeFields (uncachedTokens: Tokens | undefined): Record<string, string | number | undefined> {
    const { context: { clock }, request, endpoint, number } = this.#options
    const { load } = endpoint
    return {
      request: request.attempt,
      endpoint: endpoint.id,
      send: number,
      own: endpoint.running,
      load: load === undefined ? undefined : load.running + load.waiting,
      loadAgeMs: load === undefined ? undefined : clock.now() - load.at,
      unread: uncachedTokens,
      config: request.configVersion,
      timeLeftMs: this.#timeLeft
    }
  }

  #logEnd (end: CallEnd): void {
    const { context: { clock, log }, request, endpoint, relay } = this.#options
    log.emit(FORWARDING_EVENTS.callEnded, {
      request: request.attempt,
      endpoint: endpoint.id,
      outcome: end.kind,
      status: 'status' in end ? end.status : undefined,
      detail: 'detail' in end ? end.detail : undefined,
      stop: this.#exchange.stop,
      silentMs: this.#exchange.silence,
      events: (relay?.events ?? 0) - this.#eventsBefore,
      parts: end.kind === 'lost' && !this.#isBegun ? this.#loggedParts() : undefined,
      fingerprint: end.kind === 'lost' ? fingerprintOf(request) : undefined,
      tookMs: millis(clock.now() - this.#startedAt)
    })
  }

  /** Parts of the prompt that requests have in common. */
  #loggedParts (): string | undefined {
    return this.#options.request.prompt?.parts.slice(0, -1).slice(0, MAX_LOGGED_PARTS).map(({ id }) => id).join(' ')
  }
}

import type { StageFailure } from '@papayahill/batching'
import { millis } from '@papayahill/common'
import type { EndpointId, Failure, InstanceId, Millis, ServiceId } from '@papayahill/common'
import type { EndpointSocket } from '@papayahill/connections'
import type { Endpoint } from '@papayahill/directory'
import type { Quarantine } from '@papayahill/quarantine'
import { CallReplacement } from './CallReplacement.js'
import {
  FIRST_PLACEMENT_TIMEOUT, MAX_CRASHES_PER_REQUEST, MAX_REJECTIONS, MAX_UNTAKEN, MIN_CALL_TIME, PLACEMENT_TIMEOUT, STOP_ANSWER_FACTOR
} from './constants.js'
import { EndpointCall } from './EndpointCall.js'
import { FORWARDING_EVENTS } from './events.js'
import type { HandOverEnd } from './Detour.js'
import type { ForwardContext } from './ForwardContext.js'
import { isCutOff } from './isCutOff.js'
import type { CallCheck } from './CallQuarantine.js'
import { mayHaveRun } from './mayHaveRun.js'
import { RequestPlacement } from './RequestPlacement.js'
import type { CallPlacement } from './RequestPlacement.js'
import { RequestStages } from './RequestStages.js'
import { RunEnds } from './RunEnds.js'
import type { RunEnd } from './RunEnds.js'
import { StreamRelay } from './StreamRelay.js'
import { CallAcceptance, SuccessorCall } from './SuccessorCall.js'
import type { OngoingCall } from './SuccessorCall.js'
import type { CallEnd, CallerSink, CallObserver, ForwardRequest, ReplacementDenial } from './types.js'

type Step = RunEnd | 'again'

/** What a request that has its turn waits for: results of its stages, an endpoint, its call's answer, or a peer's. */
export type RunPhase = 'stages' | 'placement' | 'call' | 'hand-over'

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
  readonly #stages: RequestStages
  readonly #ends: RunEnds
  #sendCount = 0
  #runCount = 0
  #rejections = 0
  #recomputeCount = 0
  /** Endpoints that this request may have crashed. */
  #crashCount = 0
  /** The call in progress, which another one may be about to replace. */
  #ongoing: OngoingCall | undefined
  /** Whether the next call was permitted before the last one was ended. */
  #isPermitted = false
  readonly #isCounted: boolean
  /** Whether the stages have run, or need not run. */
  #isStaged = false
  /** Peers that have not taken the request, or lost it. */
  readonly #triedPeers = new Set<InstanceId>()
  #untakenCount = 0
  #isHandedOver = false
  /** Whether an endpoint has begun to run the request. */
  #hasBegun = false

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
    this.#ends = new RunEnds({ context, request, service, sink, relay: this.#relay })
    this.#stages = new RequestStages({
      context,
      request,
      answerTime: () => this.#stopAnswerTime,
      isResumed: () => this.#relay?.isStarted === true,
      preferredDomain: () => this.#placement.choose(this.#callPlacement)?.domain
    })
  }

  /** What the request waits for. */
  get phase (): RunPhase {
    if (this.#ongoing !== undefined) return 'call'
    if (this.#isHandedOver) return 'hand-over'
    return this.#isStaged ? 'placement' : 'stages'
  }

  /** Whether the caller has a part of the answer. */
  get isAnswering (): boolean {
    return this.#relay?.isStarted === true
  }

  /** The request's end if the instance stops now, while no call goes on. */
  endAtStop (): RunEnd {
    return this.#ends.stopped()
  }

  /** The request's end at its deadline. */
  endAtDeadline (): RunEnd {
    return this.#ends.timedOut()
  }

  async run (): Promise<RunEnd> {
    const onAbort = (): void => this.#stages.cancel()
    this.#request.signal.addEventListener('abort', onAbort, { once: true })
    try {
      return await this.#execute()
    } finally {
      this.#request.signal.removeEventListener('abort', onAbort)
      this.#stages.cancel()
    }
  }

  /** A quarantine has begun: stops whatever goes on for the request if it falls under it. */
  applyQuarantines (): void {
    this.#ongoing?.replacement.successor?.ongoing.call.withdrawIfQuarantined()
    if (this.#ongoing !== undefined) this.#ongoing.call.withdrawIfQuarantined()
    else if (this.#quarantine() !== undefined) this.#stages.cancel()
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
    if (await this.#isAborted()) return this.#ends.aborted()
    const staged = await this.#stages.run()
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

  /** Whether an answer to a call that is sent after a delay could be complete before the end of a planned stop. */
  #canEndBeforeStop (delay = millis(0)): boolean {
    const { clock, stopTime } = this.#context
    return clock.now() + delay + this.#stopAnswerTime <= stopTime.endsAt
  }

  /** Whether a call may be repeated after one that may have run. */
  get #isRetryable (): boolean {
    const { kind, isResumable } = this.#request.route
    return kind === 'safe' || (kind === 'streaming' && isResumable)
  }

  get #timeLeft (): Millis {
    return millis(this.#request.deadline - this.#context.clock.now())
  }

  #stagesFailed ({ fault, stage }: StageFailure): RunEnd {
    if (this.#request.signal.aborted) return this.#ends.aborted()
    const quarantine = this.#quarantine()
    if (quarantine !== undefined) return this.#ends.quarantined(quarantine)
    if (fault === 'late') return this.#ends.refused('over-capacity', `stage ${stage} could not be run in time`, 'late-stage')
    return this.#ends.refused('no-endpoint', `stage ${stage} failed: ${fault}`)
  }

  /** The end of a request that must not be sent any more; undefined if it may be. */
  async #endUnsent (): Promise<RunEnd | undefined> {
    if (await this.#isAborted()) return this.#ends.aborted()
    if (this.#isPermitted) return undefined
    if (!this.#canEndBeforeStop()) return this.#ends.retryDenied('the instance stops before an answer could be complete')
    if (this.#timeLeft < MIN_CALL_TIME) return this.#ends.timedOut()
    const quarantine = this.#quarantine()
    return quarantine === undefined ? undefined : this.#ends.quarantined(quarantine)
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
    this.#stages.reset()
    this.#isStaged = false
    this.#ends.dispatched()
    this.#isHandedOver = true
    this.#isPermitted = false
    const end = await detour.handOver({
      request: this.#request,
      service: this.#service,
      to,
      runs: this.#runCount,
      isCounted: this.#isCounted,
      endsAt: millis(Math.min(this.#request.deadline, stopTime.endsAt)),
      relay: this.#relay,
      mayReplace: (runs) => this.#mayHandOver(runs)
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
        if (this.#relay?.isStarted === true) return this.#ends.interrupted(`a peer answered ${end.status} instead of resuming the stream`)
        this.#sink.answer(end.status, end.headers, end.body)
        return { kind: 'answered', status: end.status }
      case 'not-taken':
        this.#undoDispatch()
        this.#untakenCount++
        this.#ends.peerRetryAfter = end.retryAfter
        return this.#request.signal.aborted ? this.#ends.aborted() : this.#retry(end.detail)
      case 'failed': return this.#failedAtPeer(end.failure)
      case 'lost':
        this.#runCount = Math.max(this.#runCount, end.runs)
        if (this.#request.signal.aborted) return this.#ends.aborted()
        if (this.#isPermitted || (this.#isRetryable && this.#tryTakeRetry())) return this.#retry(end.detail)
        return this.#ends.interrupted(end.detail)
    }
  }

  /** No call of this request has run: its refusal may say so. */
  #undoDispatch (): void {
    if (this.#runCount === 0) this.#ends.undoDispatch()
  }

  #failedAtPeer (cause: Failure): RunEnd {
    if (cause.run === 'not-run') this.#undoDispatch()
    return this.#ends.failedAtPeer(cause)
  }

  #noPath (): RunEnd {
    const detail = `no path to an endpoint of ${this.#service}, nor a peer that takes the request`
    return this.#ends.isDispatched ? this.#ends.interrupted(detail) : this.#ends.refused('no-endpoint', detail)
  }

  async #attempt (): Promise<Step> {
    const ended = await this.#endUnsent()
    if (ended !== undefined) return ended
    const endpoint = await this.#place()
    if (this.#request.signal.aborted) return this.#ends.aborted()
    if (endpoint === undefined) {
      if (this.#isCutOff) return 'again'
      const late = this.#quarantine()
      if (late !== undefined) return this.#ends.quarantined(late)
      const cause = this.#placement.wasLimited ? 'limit' : undefined
      return this.#ends.refused('no-endpoint', `no endpoint of ${this.#service} can accept the request`, cause)
    }
    const socket = this.#context.connections.acquire(endpoint, this.#usedSockets)
    if (socket === undefined) {
      this.#exclude.add(endpoint.id)
      return this.#rejected('the endpoint has no free connection')
    }
    return await this.#finish(this.#begin(endpoint, socket, this.#runCount))
  }

  /** Sends a call; `runsBefore` counts those of the request that may have run. */
  #begin (endpoint: Endpoint, socket: EndpointSocket, runsBefore: number, observer?: CallObserver): OngoingCall {
    const context = this.#context
    const request = this.#request
    const replacement = this.#replacementOf(endpoint, () => call.replace())
    const call = new EndpointCall({
      context,
      request,
      endpoint,
      check: this.#check,
      relay: this.#relay,
      inputs: this.#stages.inputs,
      number: ++this.#sendCount,
      canRetry: this.#isRetryable && runsBefore + 1 < request.route.maxAttempts,
      onInputsRead: () => this.#stages.release(),
      onBegun: () => this.#noteBegun(),
      observer,
      onSilence: () => this.#isCutOff ? this.#handOverSilent(call) : replacement.callIsSilent(),
      onHeard: () => replacement.callIsHeard()
    })
    context.unsent.delete(this.#service, request)
    request.detoured?.onRun(runsBefore + 1)
    this.#ends.dispatched()
    this.#isPermitted = false
    this.#usedSockets.add(socket)
    return { endpoint, call, replacement, ended: call.run(socket) }
  }

  async #finish (ongoing: OngoingCall): Promise<Step> {
    this.#ongoing = ongoing
    const end = await ongoing.ended
    this.#ongoing = undefined
    const step = await this.#handleEnd(ongoing, end)
    ongoing.replacement.cancel()
    return step
  }

  #replacementOf (silent: Endpoint, endSilent: () => void): CallReplacement<SuccessorCall> {
    const { log, retries } = this.#context
    return new CallReplacement({
      denial: () => this.#replacementDenial(silent),
      takeRetry: () => retries.tryTake(this.#service, 1),
      returnRetry: () => retries.giveBack(this.#service, 1),
      stages: this.#stages,
      begin: () => this.#beginSuccessor(silent),
      endSilent,
      onDenied: (missing) => log.emit(FORWARDING_EVENTS.callSilent, { request: this.#request.attempt, endpoint: silent.id, missing })
    })
  }

  /** Sends the call that takes the place of the silent one, which goes on until that is accepted. */
  #beginSuccessor (silent: Endpoint): SuccessorCall | undefined {
    const { connections } = this.#context
    const endpoint = this.#successorEndpoint(silent)
    const socket = endpoint && connections.acquire(endpoint, this.#usedSockets)
    if (socket === undefined) return undefined
    const acceptance = new CallAcceptance(this.#context)
    const ongoing = this.#begin(endpoint!, socket, this.#runCount + 1, acceptance)
    void ongoing.ended.then((end) => { if (this.#ongoing !== ongoing) this.#noteUnusedSuccessor(endpoint!, end) })
    void acceptance.accepted.then((isAccepted) => { if (!isAccepted) this.#exclude.add(endpoint!.id) })
    return new SuccessorCall(ongoing, acceptance)
  }

  /** An endpoint that has not rejected the request; the silent one if there is no other, since its answer may have been lost. */
  #successorEndpoint (silent: Endpoint): Endpoint | undefined {
    const choose = (exclude: ReadonlySet<EndpointId>): Endpoint | undefined =>
      this.#placement.choose({ ...this.#callPlacement, exclude, canReuseExcluded: false })
    return choose(new Set([...this.#exclude, silent.id])) ?? choose(this.#exclude)
  }

  /** A call has ended that did not take the place of the silent one. */
  #noteUnusedSuccessor ({ id }: Endpoint, end: CallEnd): void {
    this.#exclude.add(id)
    if (mayHaveRun(end)) this.#runCount++
    if (end.kind === 'inputs-gone') this.#stages.release()
  }

  /** Hands the request of a silent call over to a peer: this instance reaches none of its endpoints. */
  #handOverSilent (call: EndpointCall): void {
    if (this.#mayHandOver(this.#runCount + 1)) call.replace()
  }

  /** Takes what it needs to give a request to another peer, or to an endpoint that is reached again, after so many runs. */
  #mayHandOver (runs: number): boolean {
    const { detour, retries } = this.#context
    const hasPath = !this.#isCutOff || detour.choose(this.#request, this.#service, this.#triedPeers) !== undefined
    const isAllowed = this.#isRetryable && runs < this.#request.route.maxAttempts && this.#untakenCount < MAX_UNTAKEN
    if (!hasPath || !isAllowed || this.#timeLeft < MIN_CALL_TIME || !this.#canEndBeforeStop()) return false
    this.#isPermitted ||= retries.tryTake(this.#service, 1)
    return this.#isPermitted
  }

  /** What is missing for a call that takes the place of the one at this endpoint, apart from inputs and the retry budget. */
  #replacementDenial (silent: Endpoint): ReplacementDenial | undefined {
    const { clock, connections } = this.#context
    const stageTime = this.#stages.areInputsHeld ? millis(0) : this.#stages.leastTime
    if (this.#runCount + 1 >= this.#request.route.maxAttempts) return 'attempts'
    if (clock.now() + stageTime + this.#leastAnswerTime > this.#request.deadline) return 'deadline'
    if (!this.#canEndBeforeStop(stageTime)) return 'stop'
    if (this.#quarantine() !== undefined) return 'quarantine'
    const endpoint = this.#successorEndpoint(silent)
    if (endpoint === undefined) return 'endpoint'
    return connections.canAcquire(endpoint, this.#usedSockets) ? undefined : 'connection'
  }

  /** Usual time until a caller gets the next of its answer: the first event of a stream, or the whole of another answer. */
  get #leastAnswerTime (): Millis {
    const { firstEvents, answerTimes } = this.#context
    const { name, kind } = this.#request.route
    return (kind === 'streaming' ? firstEvents : answerTimes).mean(name)
  }

  /** A request counts once, however many calls it takes. */
  #noteBegun (): void {
    if (this.#hasBegun) return
    this.#hasBegun = true
    this.#context.runs?.requestBegan(this.#request)
  }

  async #handleEnd ({ endpoint, replacement }: OngoingCall, end: CallEnd): Promise<Step> {
    switch (end.kind) {
      case 'streamed':
        this.#relay?.end()
        return { kind: 'answered', status: 200 }
      case 'answered': return this.#answered(endpoint, end)
      case 'not-run': return this.#notRun(endpoint, end)
      case 'inputs-gone': return await this.#inputsGone(end.detail)
      case 'lost': return await this.#lost(endpoint, end, replacement)
    }
  }

  #answered (endpoint: Endpoint, { status, headers, body }: Extract<CallEnd, { kind: 'answered' }>): Step {
    this.#runCount++
    const isFailure = status >= 500
    if (isFailure && this.#request.route.kind === 'safe' && this.#tryTakeRetry()) {
      this.#exclude.add(endpoint.id)
      return this.#retry(`the endpoint answered ${status}`)
    }
    if (this.#relay?.isStarted === true) return this.#ends.interrupted(`the endpoint answered ${status} instead of resuming the stream`)
    this.#sink.answer(status, headers, body)
    return { kind: 'answered', status }
  }

  #notRun (endpoint: Endpoint, { detail, isReceived }: Extract<CallEnd, { kind: 'not-run' }>): Step {
    this.#undoDispatch()
    this.#exclude.add(endpoint.id)
    if (this.#request.signal.aborted) return this.#ends.aborted()
    if (isReceived && !this.#context.retries.tryTake(this.#service, 1)) return this.#ends.retryDenied(detail)
    return this.#rejected(detail)
  }

  async #inputsGone (detail: string): Promise<Step> {
    this.#undoDispatch()
    if (this.#recomputeCount++ > 0 || !this.#context.retries.tryTake(this.#service, 1)) return this.#ends.retryDenied(detail)
    const staged = await this.#stages.run()
    return staged.isErr ? this.#stagesFailed(staged.error) : 'again'
  }

  async #lost (
    endpoint: Endpoint, { detail, isConnectionLost }: Extract<CallEnd, { kind: 'lost' }>, replacement: CallReplacement<SuccessorCall>
  ): Promise<Step> {
    this.#runCount++
    this.#exclude.add(endpoint.id)
    if (this.#request.signal.aborted) return this.#ends.aborted()
    const quarantine = this.#quarantine()
    if (quarantine !== undefined) return this.#ends.quarantined(quarantine)
    if (isConnectionLost && this.#mayHaveCrashedTooMany(endpoint)) return this.#ends.interrupted(detail)
    const successor = replacement.takeSuccessor()
    if (successor !== undefined) {
      this.#retry(detail)
      return await this.#finish(successor.ongoing)
    }
    if (this.#isPermitted || await replacement.takePrepared()) return this.#retry(detail)
    if (!this.#isRetryable || !this.#tryTakeRetry()) return this.#ends.interrupted(detail)
    if (!this.#stages.areInputsHeld) {
      const staged = await this.#stages.run()
      if (staged.isErr) return this.#ends.interrupted(`${detail}; its inputs could not be recomputed`)
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
    if (++this.#rejections > MAX_REJECTIONS && !this.#isCutOff) return this.#ends.retryDenied(detail)
    return this.#retry(detail)
  }

  /** Waits for an endpoint that can accept the request; longer if a refusal would waste earlier work. */
  async #place (): Promise<Endpoint | undefined> {
    const maxWait = this.#stages.inputs.length > 0 || this.#relay?.isStarted === true ? PLACEMENT_TIMEOUT : FIRST_PLACEMENT_TIMEOUT
    const { clock, stopTime } = this.#context
    const until = Math.min(clock.now() + maxWait, this.#request.deadline - MIN_CALL_TIME, stopTime.endsAt)
    return await this.#placement.place(this.#callPlacement, millis(until))
  }

  get #callPlacement (): CallPlacement {
    return { exclude: this.#exclude, inputs: this.#stages.inputs, canReuseExcluded: this.#runCount === 0 || this.#isRetryable }
  }
}

import { failure, millis, serviceKey } from '@papayahill/common'
import type { EndpointId, Failure, Json, Millis, StageRecord, VersionId } from '@papayahill/common'
import type { CallError, EndpointLease, StageCall } from '@papayahill/endpoints'
import type { StageLeaseRequest } from '@papayahill/scheduling'
import type { ClassSettings } from '@papayahill/settings'
import type { ChunkRelay } from './ChunkRelay.js'
import { BACKOFF_BASE, BACKOFF_MAX, MAX_ATTEMPTS, MAX_CRASHES_PER_REQUEST, MIN_SLOW_CALL_TIME, SLOW_CALL_FACTOR } from './constants.js'
import { PIPELINE_EVENTS } from './events.js'
import type { AtMostOnceClaim, Permit } from './AtMostOnceClaim.js'
import { quarantineDetail } from './PrefixQuarantine.js'
import type { AllowedVersions, PrefixCheck } from './PrefixQuarantine.js'
import { prefixOf } from './prefixOf.js'
import type { RunContext } from './RunContext.js'
import type { CallEnd } from './StageCaller.js'
import type { PlannedStage } from './StagePlan.js'
import type { CallerRequest } from './types.js'

/** Result of a stage. */
export type StageEnd =
  | { readonly kind: 'done', readonly body: Json }
  | { readonly kind: 'failed', readonly failure: Failure }
  /** The claim already has the final answer. */
  | { readonly kind: 'final', readonly permit: Exclude<Permit, { kind: 'send' }> }

/** Result of one attempt. */
type AttemptEnd =
  | { readonly kind: 'called', readonly end: CallEnd }
  /** No byte was sent, and the claim was released. */
  | { readonly kind: 'not-sent', readonly endpoint: EndpointId }
  | Exclude<StageEnd, { kind: 'done' }>

/** Records that the first byte is being sent, and reverts that if none was sent. */
export interface DispatchGuard {
  dispatch (): boolean
  markNotSent (): Promise<boolean>
}

export interface StageRunOptions {
  readonly context: RunContext
  readonly request: CallerRequest
  readonly settings: ClassSettings
  readonly plan: () => PlannedStage
  readonly body: Json
  readonly relay: ChunkRelay | undefined
  /** Only for classes that may not be repeated. */
  readonly claim: AtMostOnceClaim | undefined
  readonly guard: DispatchGuard
  /** Aborts the wait for a lease, and further attempts. */
  readonly waitSignal: AbortSignal
  /** Aborts a call in progress. */
  readonly callSignal: AbortSignal
  readonly isFirst: boolean
  readonly onRecord: (record: StageRecord) => void
}

/**
 * Runs one stage of a request, with as many calls as budget, deadline and class allow.
 *
 * @example
 * const end = await new StageRun(options).run()
 */
export class StageRun {
  readonly #options: StageRunOptions
  readonly #failedEndpoints = new Set<EndpointId>()
  #attempt = 0
  #sentCalls = 0
  #cacheImport: string | undefined
  #check: PrefixCheck | undefined

  constructor (options: StageRunOptions) {
    this.#options = options
  }

  async run (): Promise<StageEnd> {
    for (;;) {
      this.#attempt++
      const planned = this.#options.plan()
      const ended = await this.#attemptOnce(planned)
      if (ended.kind === 'failed' || ended.kind === 'final') return ended
      const next = await this.#afterAttempt(planned, ended)
      if (next !== 'again') return next
    }
  }

  async #attemptOnce (planned: PlannedStage): Promise<AttemptEnd> {
    const { scheduler, clock } = this.#options.context
    const queuedAt = clock.now()
    const { versions, quarantine } = this.#allowedVersions(planned)
    if (quarantine !== undefined) return failedEnd('quarantined', quarantineDetail(quarantine))
    const used = await scheduler.withLease(this.#leaseRequest(planned, versions), (lease) => this.#claimAndSend(planned, lease, queuedAt))
    return used.match({
      Ok: (end) => end,
      Err: (cause): AttemptEnd => ({ kind: 'failed', failure: cause })
    })
  }

  /** Versions without a quarantine for the request's prefix. */
  #allowedVersions ({ service, stage }: PlannedStage): AllowedVersions {
    const { context, request, settings } = this.#options
    this.#check ??= context.prefixes.check(prefixOf(service.kind, request.body))
    return this.#check.allowed(service.id, context.versionsFor(service.id, { class: settings.id, stage: stage.id }))
  }

  /** Claims the key if the class needs it, then sends in the same event loop iteration as the dispatch. */
  async #claimAndSend (planned: PlannedStage, lease: EndpointLease, queuedAt: Millis): Promise<AttemptEnd> {
    const { claim, guard, context } = this.#options
    if (claim !== undefined && !claim.isDispatched) {
      const permit = await claim.begin(millis(planned.deadline - context.clock.now()))
      if (permit.kind !== 'send') {
        lease.release('not-sent', millis(0))
        return { kind: 'final', permit }
      }
      if (this.#options.waitSignal.aborted) return await this.#releaseUnsent(lease, 'caller-gone', 'cancelled before it was sent')
      if (!lease.isUsable()) return await this.#releaseUnsent(lease, 'no-endpoint', 'the endpoint is no longer usable')
    }
    if (!guard.dispatch()) return await this.#releaseUnsent(lease, 'store-unavailable', 'the claim expired before the request was sent')
    this.#sentCalls++
    return await this.#send(planned, lease, queuedAt)
  }

  async #releaseUnsent (
    lease: EndpointLease, kind: 'caller-gone' | 'no-endpoint' | 'store-unavailable', detail: string
  ): Promise<AttemptEnd> {
    lease.release('not-sent', millis(0))
    const isFree = await this.#options.guard.markNotSent()
    if (isFree && kind === 'no-endpoint') return { kind: 'not-sent', endpoint: lease.endpoint }
    return { kind: 'failed', failure: failure(kind, detail, 'unknown') }
  }

  async #send (planned: PlannedStage, lease: EndpointLease, queuedAt: Millis): Promise<AttemptEnd> {
    const { context, relay, callSignal, onRecord, settings } = this.#options
    const isResumed = relay?.resumePoint !== undefined
    const called = { service: planned.service.id, version: lease.version, endpoint: lease.endpoint, incarnation: lease.incarnation }
    this.#check?.callSent()
    const end = await context.caller.send({
      call: this.#call(planned),
      lease,
      queued: millis(context.clock.now() - queuedAt),
      relay,
      signal: callSignal,
      slow: this.#slowCallCheck(planned),
      onBegun: () => this.#check?.answerBegan(called)
    })
    if (!end.hasBegun && end.record.outcome === 'cut') this.#check?.callLost(called)
    onRecord(end.record)
    if (end.record.firstChunk !== undefined && !isResumed) context.firstChunks.record(settings.id, end.record.firstChunk)
    return { kind: 'called', end }
  }

  async #afterAttempt (
    planned: PlannedStage, ended: Extract<AttemptEnd, { kind: 'called' | 'not-sent' }>
  ): Promise<StageEnd | 'again'> {
    if (ended.kind === 'not-sent') {
      this.#failedEndpoints.add(ended.endpoint)
      return await this.#retryAfterBackoff(planned, 'no-endpoint', 'no connection to an endpoint')
    }
    const { result, record, isOverflow, isRetryTaken } = ended.end
    if (result.isOk) return { kind: 'done', body: result.value.body }
    if (isOverflow) return failedEnd('slow-caller', 'the caller read its stream too slowly')
    this.#failedEndpoints.add(record.endpoint)
    this.#cacheImport = result.error.cacheExport
    return await this.#afterError(planned, result.error, isRetryTaken)
  }

  async #afterError (planned: PlannedStage, error: CallError, isRetryTaken: boolean): Promise<StageEnd | 'again'> {
    const { stage } = planned
    const detail = `stage ${stage.id}: ${error.detail}`
    if (error.outcome === 'cancelled') return failedEnd('caller-gone', detail)
    if (error.outcome === 'not-sent') return await this.#afterNotSent(planned, detail)
    if (this.#options.claim !== undefined) return this.#failWithUnknownOutcome(detail)
    if (this.#options.callSignal.aborted) return failedEnd('deadline-passed', detail)
    if ((this.#check?.crashes ?? 0) >= MAX_CRASHES_PER_REQUEST) return failedEnd('stage-failed', detail)
    if (!isRetryTaken && !this.#takeRetry(planned)) return failedEnd('stage-failed', detail)
    return await this.#retryAfterBackoff(planned, 'stage-failed', detail)
  }

  /** No byte was sent, so this counts neither as a run nor against the retry budget. */
  async #afterNotSent (planned: PlannedStage, detail: string): Promise<StageEnd | 'again'> {
    this.#sentCalls--
    const isFirstByte = this.#options.isFirst && this.#sentCalls === 0
    if (isFirstByte && !await this.#options.guard.markNotSent()) return failedEnd('outcome-unknown', detail)
    return await this.#retryAfterBackoff(planned, 'no-endpoint', detail)
  }

  #failWithUnknownOutcome (detail: string): StageEnd {
    const { request, settings, context } = this.#options
    context.log.emit(PIPELINE_EVENTS.unknownOutcome, { request: request.id, class: settings.id, detail })
    return failedEnd('stage-failed', detail)
  }

  #takeRetry (planned: PlannedStage): boolean {
    const { context, settings } = this.#options
    const isTimeLeft = context.clock.now() + planned.forecast <= planned.deadline
    if (!isTimeLeft || this.#attempt >= MAX_ATTEMPTS) return false
    return context.scheduler.takeRetry(settings.id, planned.service.id)
  }

  async #retryAfterBackoff (
    planned: PlannedStage, kind: 'no-endpoint' | 'stage-failed', detail: string
  ): Promise<StageEnd | 'again'> {
    const { context, relay, waitSignal, settings } = this.#options
    const wait = this.#backoff()
    const isTimeLeft = context.clock.now() + wait < planned.deadline
    if (!isTimeLeft || this.#attempt >= MAX_ATTEMPTS) return failedEnd(kind, detail)
    const event = relay?.resumePoint === undefined ? PIPELINE_EVENTS.retrying : PIPELINE_EVENTS.resumed
    context.log.emit(event, { class: settings.id, stage: planned.stage.id, attempt: this.#attempt, detail })
    await context.clock.sleep(wait)
    return waitSignal.aborted ? failedEnd('caller-gone', detail) : 'again'
  }

  #backoff (): Millis {
    const longest = Math.min(BACKOFF_MAX, BACKOFF_BASE * 2 ** this.#attempt)
    return millis(longest * this.#options.context.random.next())
  }

  /** Abandons a call without progress for far longer than usual, if a slot is free for another and the retry budget allows it. */
  #slowCallCheck (planned: PlannedStage): { after: Millis, shouldAbandon: () => boolean } | undefined {
    const { claim, relay, context, settings } = this.#options
    if (claim !== undefined) return undefined
    const after = relay === undefined ? slowCallTime(planned.forecast) : this.#slowFirstChunkAfter(planned)
    const shouldAbandon = (): boolean => {
      const isTaken = context.scheduler.hasFreeSlot(planned.service.id) && this.#takeRetry(planned)
      if (isTaken) context.log.emit(PIPELINE_EVENTS.slowCall, { class: settings.id, stage: planned.stage.id })
      return isTaken
    }
    return { after, shouldAbandon }
  }

  /** Time after which a first chunk is too slow; uses the class's target until there is a mean of first chunk times. */
  #slowFirstChunkAfter (planned: PlannedStage): Millis {
    const { context, settings } = this.#options
    const usual = context.firstChunks.mean(settings.id)
    if (usual > 0) return slowCallTime(usual)
    return millis(Math.max(slowCallTime(planned.forecast), settings.target.firstChunk ?? 0))
  }

  #leaseRequest (planned: PlannedStage, versions: readonly VersionId[]): StageLeaseRequest {
    const { request, settings } = this.#options
    const { stage, service } = planned
    return {
      request: request.id,
      workspace: request.workspace,
      class: settings.id,
      stage: stage.id,
      service: service.id,
      versions,
      prefix: prefixOf(planned.service.kind, this.#options.request.body),
      exclude: this.#failedEndpoints,
      stageDeadline: this.#queueDeadline(planned),
      softDeadline: planned.softDeadline,
      remaining: planned.remaining,
      attempt: this.#attempt,
      signal: this.#options.waitSignal
    }
  }

  /** A request that may not be repeated and was dispatched continues past its deadline, so that it is not left half done. */
  #queueDeadline (planned: PlannedStage): Millis {
    if (this.#options.claim?.isDispatched !== true) return planned.deadline
    return millis(Math.max(planned.deadline, this.#options.context.clock.now() + planned.service.callTimeout))
  }

  #call (planned: PlannedStage): StageCall {
    const { request, settings, body, claim, relay, context } = this.#options
    const { service, stage } = planned
    const left = millis(planned.deadline - context.clock.now())
    const timeout = claim === undefined ? Math.min(service.callTimeout, Math.max(1, left)) : service.callTimeout
    return {
      id: { request: request.id, stage: stage.id, attempt: this.#attempt },
      service: service.id,
      kind: service.kind,
      class: settings.id,
      workspace: request.workspace,
      body,
      key: service.kind === 'plain' && claim !== undefined ? serviceKey(request.workspace, claim.key) : undefined,
      priority: this.#priority(planned),
      timeout: millis(timeout),
      prefix: prefixOf(planned.service.kind, this.#options.request.body),
      isStreamed: relay !== undefined,
      resume: relay?.resumePoint,
      cacheImport: this.#cacheImport
    }
  }

  /** Slack in whole milliseconds; engines run calls with less slack first. */
  #priority (planned: PlannedStage): number {
    const endBy = Math.min(planned.deadline, planned.softDeadline ?? Infinity)
    return Math.max(0, Math.round(endBy - planned.forecast - this.#options.context.clock.now()))
  }
}

const failedEnd = (kind: Failure['kind'], detail: string): Extract<StageEnd, { kind: 'failed' }> => ({
  kind: 'failed', failure: failure(kind, detail, 'unknown')
})

const slowCallTime = (usual: Millis): Millis => millis(Math.max(MIN_SLOW_CALL_TIME, SLOW_CALL_FACTOR * usual))

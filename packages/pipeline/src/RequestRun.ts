import { failure, millis, RunGuard, tokens } from '@papayahill/common'
import type { Failure, Json, Millis, StageRecord, StageUsage, ServiceId } from '@papayahill/common'
import type { ClassSettings, PipelineSettings, ServiceSettings } from '@papayahill/settings'
import { Result } from 'true-myth'
import { ChunkRelay } from './ChunkRelay.js'
import { AtMostOnceClaim, finalResultOf, withUnknownRun } from './AtMostOnceClaim.js'
import type { RunContext } from './RunContext.js'
import { stageBody } from './stageBody.js'
import { StagePlan } from './StagePlan.js'
import { StageRun } from './StageRun.js'
import type { StageEnd } from './StageRun.js'
import type { Answer, AnswerSink, CallerRequest } from './types.js'

export interface RequestRunOptions {
  readonly context: RunContext
  readonly request: CallerRequest
  readonly sink: AnswerSink
  readonly settings: ClassSettings
  readonly pipeline: PipelineSettings
  readonly services: ReadonlyMap<ServiceId, ServiceSettings>
}

/**
 * Runs one admitted request through its stages.
 *
 * @example
 * const run = new RequestRun(options)
 * const answer = await Promise.race([run.run(), run.abandoned])
 */
export class RequestRun {
  readonly #options: RequestRunOptions
  readonly #plan: StagePlan
  readonly #relay: ChunkRelay | undefined
  readonly #claim: AtMostOnceClaim | undefined
  readonly #stages: StageRecord[] = []
  /** Aborts the wait for slots, and calls that may be cancelled. */
  readonly #abandonController = new AbortController()
  /** Aborts calls in progress; never aborted for requests that may not be repeated. */
  readonly #callSignal: AbortSignal
  #guard = new RunGuard()
  #resolveAbandoned: (result: Result<Answer, Failure>) => void = () => {}

  /** Resolves with the final answer if the request is abandoned before its work has ended. */
  readonly abandoned: Promise<Result<Answer, Failure>>

  constructor (options: RequestRunOptions) {
    this.#options = options
    const { context, request, settings, pipeline, services, sink } = options
    const isStreamed = request.isStreamed && settings.streamed
    const { clock, scheduler, firstChunks, claims } = context
    this.#plan = new StagePlan({
      clock, scheduler, firstChunks, settings, pipeline, services, isStreamed, startedAt: request.startedAt
    })
    if (isStreamed) this.#relay = new ChunkRelay(clock, sink)
    const service = pipeline.stages.at(-1)!.service
    if (!settings.repeatable) this.#claim = new AtMostOnceClaim({ clock, claims, request, service })
    this.#callSignal = settings.repeatable ? this.#abandonController.signal : new AbortController().signal
    this.abandoned = new Promise((resolve) => { this.#resolveAbandoned = resolve })
  }

  get deadline (): Millis {
    return this.#plan.deadline
  }

  /** All stage calls so far, in order. */
  get stages (): readonly StageRecord[] {
    return this.#stages
  }

  get firstChunkAt (): Millis | undefined {
    return this.#relay?.firstChunkAt
  }

  get worstGap (): Millis | undefined {
    return this.#relay?.worstGap
  }

  /** Runs all stages; resolves once none of the request's work is running. */
  async run (): Promise<Result<Answer, Failure>> {
    const deadlinePassed = (): void => this.#abandon('deadline-passed', 'the deadline passed before the last stage ended')
    const callerGone = (): void => this.#abandon('caller-gone', 'the caller disconnected')
    const { context, request } = this.#options
    const timer = context.clock.after(millis(this.deadline - context.clock.now()), deadlinePassed)
    request.signal.addEventListener('abort', callerGone, { once: true })
    if (request.signal.aborted) callerGone()
    const result = await this.#runStages()
    timer.cancel()
    request.signal.removeEventListener('abort', callerGone)
    this.#relay?.close()
    return result
  }

  /** Refuses the request before any stage, with an answer that holds for its key. */
  async refuse (cause: Failure): Promise<Result<Answer, Failure>> {
    const permit = await this.#claim?.refuse(cause)
    if (permit === undefined || permit.kind === 'send') return Result.err(cause)
    return finalResultOf(permit).map((body) => this.#answer(body, true))
  }

  /** Resolves with the final answer at once; calls that cannot be cancelled continue, so that their outcome is recorded. */
  #abandon (kind: 'deadline-passed' | 'caller-gone', detail: string): void {
    this.#abandonController.abort()
    const cause = failure(kind, detail, 'unknown')
    this.#resolveAbandoned(Result.err(this.#mayHaveEarlierRun() ? cause : this.#currentGuard().refuse(kind, detail)))
  }

  /** Whether an earlier request with the same key may have run. */
  #mayHaveEarlierRun (): boolean {
    return this.#claim !== undefined && this.#options.request.key !== undefined
  }

  #currentGuard (): Pick<RunGuard, 'refuse'> {
    if (this.#claim?.isDispatched !== true) return this.#guard
    const guard = new RunGuard()
    guard.dispatched()
    return guard
  }

  async #runStages (): Promise<Result<Answer, Failure>> {
    let previous: Json = null
    for (let index = 0; index < this.#plan.length; index++) {
      const end = await this.#runStage(index, previous)
      if (end.kind !== 'done') return await this.#resultOfEnd(end)
      previous = end.body
    }
    await this.#claim?.recordAnswer(previous)
    await this.#relay?.drain()
    return Result.ok(this.#answer(previous, false))
  }

  #runStage (index: number, previous: Json): Promise<StageEnd> {
    const { context, request, settings } = this.#options
    const isLast = index === this.#plan.length - 1
    const run = new StageRun({
      context,
      request,
      settings,
      plan: () => this.#plan.stage(index),
      body: stageBody(request.body, previous),
      relay: isLast ? this.#relay : undefined,
      claim: this.#claim,
      guard: this.#claim ?? this.#repeatableGuard(),
      waitSignal: this.#claim?.isDispatched === true ? this.#callSignal : this.#abandonController.signal,
      callSignal: this.#callSignal,
      isFirst: index === 0,
      onRecord: (record) => {
        this.#stages.push(record)
        context.stageEnded(record)
      }
    })
    return run.run()
  }

  /** For repeatable classes, "not run" holds until the first byte of the first call is sent. */
  #repeatableGuard (): { dispatch: () => boolean, markNotSent: () => Promise<boolean> } {
    return {
      dispatch: () => {
        this.#guard.dispatched()
        return true
      },
      markNotSent: () => {
        this.#guard = new RunGuard()
        return Promise.resolve(true)
      }
    }
  }

  async #resultOfEnd (end: Exclude<StageEnd, { kind: 'done' }>): Promise<Result<Answer, Failure>> {
    if (end.kind === 'final') return finalResultOf(end.permit).map((body) => this.#answer(body, true))
    if (this.#claim === undefined) return Result.err(this.#withRunState(end.failure))
    if (!this.#claim.isDispatched) return await this.refuse(end.failure)
    await this.#claim.markLost()
    return Result.err(withUnknownRun(end.failure))
  }

  #withRunState (cause: Failure): Failure {
    const { kind, detail, retryAfter } = cause
    return this.#guard.refuse(kind, detail, { retryAfter })
  }

  #answer (body: Json, isReplayed: boolean): Answer {
    return {
      request: this.#options.request.id,
      body,
      chunks: this.#relay?.chunks ?? 0,
      isReplayed,
      usage: this.#stages.reduce((sum, stage) => addUsage(sum, stage.usage), NO_USAGE)
    }
  }
}

const NO_USAGE: StageUsage = { tokensIn: tokens(0), tokensCached: tokens(0), tokensOut: tokens(0), busy: millis(0) }

const addUsage = (left: StageUsage, right: StageUsage): StageUsage => ({
  tokensIn: tokens(left.tokensIn + right.tokensIn),
  tokensCached: tokens(left.tokensCached + right.tokensCached),
  tokensOut: tokens(left.tokensOut + right.tokensOut),
  busy: millis(left.busy + right.busy)
})

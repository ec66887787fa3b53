import { failure, millis, RunGuard, tokens } from '@papayahill/common'
import type { Failure, Json, Millis, StageRecord, StageUsage, ServiceId } from '@papayahill/common'
import type { ClassSettings, PipelineSettings, ServiceSettings } from '@papayahill/settings'
import { Result } from 'true-myth'
import { ChunkRelay } from './ChunkRelay.js'
import { finalOf, OnceClaim, unknown } from './OnceClaim.js'
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
 * One admitted request on its way through the stages.
 *
 * @example
 * const run = new RequestRun(options)
 * const answer = await Promise.race([run.work(), run.givenUp])
 */
export class RequestRun {
  readonly #options: RequestRunOptions
  readonly #plan: StagePlan
  readonly #relay: ChunkRelay | undefined
  readonly #claim: OnceClaim | undefined
  readonly #stages: StageRecord[] = []
  /** Stops waiting for slots, and calls that may be cut off. */
  readonly #stop = new AbortController()
  /** Stops calls under way; never aborted where they may not be repeated. */
  readonly #callSignal: AbortSignal
  #guard = new RunGuard()
  #giveUp: (result: Result<Answer, Failure>) => void = () => {}

  /** Resolves with the final answer where the request is given up before its work has ended. */
  readonly givenUp: Promise<Result<Answer, Failure>>

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
    if (!settings.repeatable) this.#claim = new OnceClaim({ clock, claims, request, service })
    this.#callSignal = settings.repeatable ? this.#stop.signal : new AbortController().signal
    this.givenUp = new Promise((resolve) => { this.#giveUp = resolve })
  }

  get deadline (): Millis {
    return this.#plan.deadline
  }

  /** All stage calls so far, in order. */
  get stages (): readonly StageRecord[] {
    return this.#stages
  }

  get firstChunkAt (): Millis | undefined {
    return this.#relay?.firstAt
  }

  get worstGap (): Millis | undefined {
    return this.#relay?.worstGap
  }

  /** Runs all stages; resolves once nothing of the request runs any more. */
  async work (): Promise<Result<Answer, Failure>> {
    const deadlinePassed = (): void => this.#abandon('deadline-passed', 'the deadline passed before the last stage ended')
    const callerGone = (): void => this.#abandon('caller-gone', 'the caller went away')
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

  /** A refusal before any stage, true of the request's key. */
  async refuse (cause: Failure): Promise<Result<Answer, Failure>> {
    const permit = await this.#claim?.refuse(cause)
    if (permit === undefined || permit.kind === 'send') return Result.err(cause)
    return finalOf(permit).map((body) => this.#answer(body, true))
  }

  /** Gives the final answer at once; what cannot be cut off runs on, to learn its outcome. */
  #abandon (kind: 'deadline-passed' | 'caller-gone', detail: string): void {
    this.#stop.abort()
    const cause = failure(kind, detail, 'unknown')
    this.#giveUp(Result.err(this.#isKeyOpen() ? cause : this.#guardOf().refuse(kind, detail)))
  }

  /** Whether an earlier attempt under the same key may have run, for all that is known here. */
  #isKeyOpen (): boolean {
    return this.#claim !== undefined && this.#options.request.key !== undefined
  }

  #guardOf (): Pick<RunGuard, 'refuse'> {
    if (this.#claim?.isDispatched !== true) return this.#guard
    const guard = new RunGuard()
    guard.dispatched()
    return guard
  }

  async #runStages (): Promise<Result<Answer, Failure>> {
    let previous: Json = null
    for (let index = 0; index < this.#plan.length; index++) {
      const end = await this.#runStage(index, previous)
      if (end.kind !== 'done') return await this.#ended(end)
      previous = end.body
    }
    await this.#claim?.answered(previous)
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
      waitSignal: this.#claim?.isDispatched === true ? this.#callSignal : this.#stop.signal,
      callSignal: this.#callSignal,
      isFirst: index === 0,
      onRecord: (record) => {
        this.#stages.push(record)
        context.stageEnded(record)
      }
    })
    return run.run()
  }

  /** For repeatable classes "not run" holds until the first byte of the first call. */
  #repeatableGuard (): { dispatch: () => boolean, notSent: () => Promise<boolean> } {
    return {
      dispatch: () => {
        this.#guard.dispatched()
        return true
      },
      notSent: () => {
        this.#guard = new RunGuard()
        return Promise.resolve(true)
      }
    }
  }

  async #ended (end: Exclude<StageEnd, { kind: 'done' }>): Promise<Result<Answer, Failure>> {
    if (end.kind === 'final') return finalOf(end.permit).map((body) => this.#answer(body, true))
    if (this.#claim === undefined) return Result.err(this.#worded(end.failure))
    if (!this.#claim.isDispatched) return await this.refuse(end.failure)
    await this.#claim.lost()
    return Result.err(unknown(end.failure))
  }

  #worded (cause: Failure): Failure {
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

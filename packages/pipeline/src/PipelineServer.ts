import { failure, millis, MovingMeans, refusal } from '@papayahill/common'
import type {
  ClassId, Clock, EventLog, Failure, Millis, Random, RequestRecord, ServiceId, ServingObserver, StageRecord, VersionId, WorkspaceId
} from '@papayahill/common'
import type { Claims } from '@papayahill/claims'
import type { QuarantineManager } from '@papayahill/quarantine'
import type { Scheduler } from '@papayahill/scheduling'
import type { ClassSettings, OperatorConfig, PipelineSettings } from '@papayahill/settings'
import { Result } from 'true-myth'
import { FIRST_CHUNK_WEIGHT } from './constants.js'
import { PIPELINE_EVENTS } from './events.js'
import { PrefixQuarantine, quarantineDetail } from './PrefixQuarantine.js'
import { prefixOf } from './prefixOf.js'
import { RequestRun } from './RequestRun.js'
import type { RunContext } from './RunContext.js'
import { StageCaller } from './StageCaller.js'
import type { Route } from './StagePlan.js'
import type { Answer, AnswerSink, CallerRequest, PipelineRunner } from './types.js'
import { DeferredObservers } from './DeferredObservers.js'
import { markWaste } from './markWaste.js'

export interface PipelineServerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly scheduler: Scheduler
  readonly claims: Claims
  readonly config: () => OperatorConfig
  /** Versions that may serve a route now, in order of preference. */
  readonly versionsFor: (service: ServiceId, route: Route) => readonly VersionId[]
  /** Fails if a budget is used up. */
  readonly checkBudget: (workspace: WorkspaceId, classId: ClassId) => Result<void, Failure>
  readonly observers: readonly ServingObserver[]
  readonly quarantines: QuarantineManager
  readonly log: EventLog
}

interface ClassRoute {
  readonly settings: ClassSettings
  readonly pipeline: PipelineSettings
}

/**
 * Runs callers' requests through their pipelines and returns one final answer for each.
 *
 * @example
 * const server = new PipelineServer(options)
 * const answer = await server.run(request, sink)
 */
export class PipelineServer implements PipelineRunner {
  readonly #options: PipelineServerOptions
  readonly #context: RunContext
  readonly #observers: DeferredObservers
  #running = 0

  constructor (options: PipelineServerOptions) {
    this.#options = options
    const { clock, random, scheduler, claims, versionsFor, quarantines, log } = options
    const caller = new StageCaller(clock, log)
    this.#observers = new DeferredObservers(clock, options.observers)
    const stageEnded = (record: StageRecord): void => this.#observers.stageEnded(record)
    this.#context = {
      clock,
      random,
      scheduler,
      claims,
      versionsFor,
      log,
      caller,
      stageEnded,
      firstChunks: new MovingMeans({ weight: FIRST_CHUNK_WEIGHT, initial: millis(0) }),
      prefixes: new PrefixQuarantine(quarantines)
    }
  }

  get running (): number {
    return this.#running
  }

  async run (request: CallerRequest, sink: AnswerSink): Promise<Result<Answer, Failure>> {
    const checked = this.#check(request)
    if (checked.isErr) {
      this.#reportInvalid(request, checked.error)
      return Result.err(checked.error)
    }
    this.#running++
    const { settings, pipeline } = checked.value
    const { services } = this.#options.config()
    const run = new RequestRun({ context: this.#context, request, sink, settings, pipeline, services })
    return await this.#admitAndServe(request, checked.value, run)
  }

  async #admitAndServe (request: CallerRequest, route: ClassRoute, run: RequestRun): Promise<Result<Answer, Failure>> {
    const admitted = this.#checkAdmission(request, route)
    if (admitted.isErr) {
      const refused = await run.refuse(admitted.error).catch(internalFailure)
      this.#running--
      this.#reportEnd(this.#record(request, run, refused, route.settings), run, refused)
      return refused
    }
    return await this.#serve(request, route, run)
  }

  #checkAdmission (request: CallerRequest, route: ClassRoute): Result<void, Failure> {
    const { scheduler, checkBudget } = this.#options
    const notQuarantined = this.#checkQuarantine(request, route)
    if (notQuarantined.isErr) return notQuarantined
    const withinBudget = checkBudget(request.workspace, request.class)
    if (withinBudget.isErr) return withinBudget
    return scheduler.admit({
      request: request.id,
      workspace: request.workspace,
      class: route.settings,
      pipeline: route.pipeline,
      startedAt: request.startedAt
    })
  }

  /** Fails if the request's prefix is under quarantine in all versions of one of its engines. */
  #checkQuarantine ({ body }: CallerRequest, { settings, pipeline }: ClassRoute): Result<void, Failure> {
    const { prefixes, versionsFor, log } = this.#context
    const { services } = this.#options.config()
    for (const stage of pipeline.stages) {
      const service = services.get(stage.service)
      const prefix = service === undefined ? undefined : prefixOf(service.kind, body)
      if (service === undefined || prefix === undefined) continue
      const { quarantine } = prefixes.check(prefix).allowed(service.id, versionsFor(service.id, { class: settings.id, stage: stage.id }))
      if (quarantine === undefined) continue
      log.emit(PIPELINE_EVENTS.quarantined, { class: settings.id, stage: stage.id, prefix, crashes: quarantine.crashes })
      return Result.err(refusal('quarantined', quarantineDetail(quarantine)))
    }
    return Result.ok(undefined)
  }

  async #serve (request: CallerRequest, route: ClassRoute, run: RequestRun): Promise<Result<Answer, Failure>> {
    const work = run.run().catch(internalFailure)
    const answer = await Promise.race([work, run.abandoned])
    const record = this.#record(request, run, answer, route.settings)
    this.#options.scheduler.finished(request.id, record.isTargetMet)
    void work.then(() => {
      this.#running--
      this.#reportEnd(record, run, answer)
    })
    return answer
  }

  #check (request: CallerRequest): Result<ClassRoute, Failure> {
    const { classes, pipelines, workspaces } = this.#options.config()
    const workspace = workspaces.get(request.workspace)
    if (workspace === undefined) return refuse('unknown-workspace', `no workspace is called ${request.workspace}`)
    const settings = classes.get(request.class)
    const pipeline = settings && pipelines.get(settings.pipeline)
    if (settings === undefined || pipeline === undefined) return refuse('unknown-class', `no class is called ${request.class}`)
    const isAllowed = workspace.classes?.includes(request.class) ?? true
    if (!isAllowed) return refuse('forbidden', `workspace ${request.workspace} may not use class ${request.class}`)
    const isKeyMissing = !settings.repeatable && settings.keyRequired && request.key === undefined
    if (isKeyMissing) return refuse('key-required', `class ${request.class} needs an Idempotency-Key`)
    return Result.ok({ settings, pipeline })
  }

  #reportInvalid (request: CallerRequest, cause: Failure): void {
    const record = this.#record(request, undefined, Result.err(cause), undefined)
    this.#observers.requestEnded(record, [])
  }

  #reportEnd (record: RequestRecord, run: RequestRun, answer: Result<Answer, Failure>): void {
    const stages = answer.isOk ? run.stages : markWaste(run.stages, answer.error)
    this.#observers.requestEnded(record, stages)
  }

  #record (
    request: CallerRequest, run: RequestRun | undefined, answer: Result<Answer, Failure>, settings: ClassSettings | undefined
  ): RequestRecord {
    const took = millis(this.#options.clock.now() - request.startedAt)
    const firstChunk = run?.firstChunkAt === undefined ? undefined : millis(run.firstChunkAt - request.startedAt)
    const worstGap = run?.worstGap
    return {
      request: request.id,
      class: request.class,
      workspace: request.workspace,
      outcome: outcomeOf(answer),
      error: answer.isErr ? answer.error.kind : undefined,
      run: answer.isErr ? answer.error.run : undefined,
      isTargetMet: answer.isOk && settings !== undefined && isTargetMet(settings, { took, firstChunk, worstGap }),
      startedAt: request.startedAt,
      took,
      firstChunk,
      worstGap
    }
  }
}

const refuse = (kind: Failure['kind'], detail: string): Result<never, Failure> => Result.err(refusal(kind, detail))

/** An unexpected error of the instance itself; what has run is not known. */
const internalFailure = (err: unknown): Result<Answer, Failure> =>
  Result.err(failure('internal', err instanceof Error ? err.message : 'the request failed with an unexpected error', 'unknown'))

const outcomeOf = (answer: Result<Answer, Failure>): RequestRecord['outcome'] => {
  if (answer.isOk) return 'answered'
  return answer.error.run === 'not-run' ? 'refused' : 'failed'
}

interface AnswerTimes {
  readonly took: Millis
  readonly firstChunk?: Millis
  readonly worstGap?: Millis
}

const isTargetMet = (settings: ClassSettings, times: AnswerTimes): boolean => {
  const { deadline, firstChunk, betweenChunks } = settings.target
  const isFirstInTime = times.firstChunk === undefined || firstChunk === undefined || times.firstChunk <= firstChunk
  const areGapsInTime = times.worstGap === undefined || betweenChunks === undefined || times.worstGap <= betweenChunks
  return times.took <= deadline && isFirstInTime && areGapsInTime
}

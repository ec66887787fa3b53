import { millis } from '@papayahill/common'
import type { ClassId, Clock, Millis, ServiceId, StageId } from '@papayahill/common'
import type { Scheduler } from '@papayahill/scheduling'
import type { ClassSettings, PipelineSettings, ServiceSettings, StageSettings } from '@papayahill/settings'
import type { FirstChunkTimes } from './FirstChunkTimes.js'

/** One stage of a request, with the times that its deadline leaves. */
export interface PlannedStage {
  readonly stage: StageSettings
  readonly service: ServiceSettings
  readonly isLast: boolean
  /** Monotonic time by which the call must have ended for the stages behind it to make it. */
  readonly deadline: Millis
  /** Earlier time by which it should end for the first chunk to meet its target. */
  readonly wantedBy?: Millis
  readonly forecast: Millis
  /** Forecast of this stage and those behind it. */
  readonly remaining: Millis
}

export interface PlanOptions {
  readonly clock: Clock
  readonly scheduler: Scheduler
  readonly firstChunks: FirstChunkTimes
  readonly settings: ClassSettings
  readonly pipeline: PipelineSettings
  readonly services: ReadonlyMap<ServiceId, ServiceSettings>
  readonly startedAt: Millis
  readonly isStreamed: boolean
}

/**
 * Splits a request's deadline among its stages by what recent calls took.
 *
 * @example
 * const planned = new StagePlan(options).stage(0)
 */
export class StagePlan {
  readonly #options: PlanOptions

  constructor (options: PlanOptions) {
    this.#options = options
  }

  get length (): number {
    return this.#options.pipeline.stages.length
  }

  get deadline (): Millis {
    return millis(this.#options.startedAt + this.#options.settings.target.deadline)
  }

  /** The stage at `index`, from the forecasts of now. */
  stage (index: number): PlannedStage {
    const { pipeline, services } = this.#options
    const stage = pipeline.stages[index]!
    const forecast = this.#forecast(stage)
    const behind = this.#sum(index + 1, this.length)
    return {
      stage,
      service: services.get(stage.service)!,
      isLast: index === this.length - 1,
      deadline: millis(this.deadline - behind),
      wantedBy: this.#wantedBy(index, forecast),
      forecast,
      remaining: millis(forecast + behind)
    }
  }

  #wantedBy (index: number, forecast: Millis): Millis | undefined {
    const { settings, firstChunks, startedAt, isStreamed } = this.#options
    const { firstChunk } = settings.target
    if (!isStreamed || firstChunk === undefined) return undefined
    const lastStart = startedAt + firstChunk - firstChunks.mean(settings.id)
    const isLast = index === this.length - 1
    return millis(isLast ? lastStart + forecast : lastStart - this.#sum(index + 1, this.length - 1))
  }

  #sum (from: number, to: number): number {
    return this.#options.pipeline.stages.slice(from, to).reduce((sum, stage) => sum + this.#forecast(stage), 0)
  }

  #forecast (stage: StageSettings): Millis {
    const { scheduler, settings } = this.#options
    return scheduler.forecast(settings.id, stage.id, stage.service)
  }
}

/** The route that rollouts judge by: a class and one of its stages. */
export interface Route {
  readonly class: ClassId
  readonly stage: StageId
}

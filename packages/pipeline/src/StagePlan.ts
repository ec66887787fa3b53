import { millis } from '@papayahill/common'
import type { ClassId, Clock, Millis, MovingMeans, ServiceId, StageId } from '@papayahill/common'
import type { Scheduler } from '@papayahill/scheduling'
import type { ClassSettings, PipelineSettings, ServiceSettings, StageSettings } from '@papayahill/settings'

/** One stage of a request, with its share of the deadline. */
export interface PlannedStage {
  readonly stage: StageSettings
  readonly service: ServiceSettings
  readonly isLast: boolean
  /** Monotonic time by which the call must end to leave time for the following stages. */
  readonly deadline: Millis
  /** Monotonic time, before the deadline, by which it should end for the first chunk to meet its target. */
  readonly softDeadline?: Millis
  readonly forecast: Millis
  /** Total forecast of this stage and the following ones. */
  readonly remaining: Millis
}

export interface PlanOptions {
  readonly clock: Clock
  readonly scheduler: Scheduler
  /** Time from a call's start to its first chunk. */
  readonly firstChunks: MovingMeans<ClassId>
  readonly settings: ClassSettings
  readonly pipeline: PipelineSettings
  readonly services: ReadonlyMap<ServiceId, ServiceSettings>
  readonly startedAt: Millis
  readonly isStreamed: boolean
}

/**
 * Splits a request's deadline among its stages by the forecasts of their calls.
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

  /** Plans the stage at `index` from the current forecasts. */
  stage (index: number): PlannedStage {
    const { pipeline, services } = this.#options
    const stage = pipeline.stages[index]!
    const forecast = this.#forecast(stage)
    const following = this.#forecastSum(index + 1, this.length)
    return {
      stage,
      service: services.get(stage.service)!,
      isLast: index === this.length - 1,
      deadline: millis(this.deadline - following),
      softDeadline: this.#softDeadline(index, forecast),
      forecast,
      remaining: millis(forecast + following)
    }
  }

  #softDeadline (index: number, forecast: Millis): Millis | undefined {
    const { settings, firstChunks, startedAt, isStreamed } = this.#options
    const { firstChunk } = settings.target
    if (!isStreamed || firstChunk === undefined) return undefined
    const lastStart = startedAt + firstChunk - firstChunks.mean(settings.id)
    const isLast = index === this.length - 1
    return millis(isLast ? lastStart + forecast : lastStart - this.#forecastSum(index + 1, this.length - 1))
  }

  #forecastSum (from: number, to: number): number {
    return this.#options.pipeline.stages.slice(from, to).reduce((sum, stage) => sum + this.#forecast(stage), 0)
  }

  #forecast (stage: StageSettings): Millis {
    const { scheduler, settings } = this.#options
    return scheduler.forecast(settings.id, stage.id, stage.service)
  }
}

/** A class and one of its stages; rollouts evaluate versions per route. */
export interface Route {
  readonly class: ClassId
  readonly stage: StageId
}

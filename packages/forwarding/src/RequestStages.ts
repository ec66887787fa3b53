import { leastStageTime, StageGraphRun } from '@papayahill/batching'
import type { StageFailure, StageResult } from '@papayahill/batching'
import { millis } from '@papayahill/common'
import type { DomainId, Millis } from '@papayahill/common'
import { Result } from 'true-myth'
import { MIN_CALL_TIME, RESUMED_STAGES_FACTOR } from './constants.js'
import { FORWARDING_EVENTS } from './events.js'
import type { ForwardContext } from './ForwardContext.js'
import type { ForwardRequest } from './types.js'

export interface RequestStagesOptions {
  readonly context: ForwardContext
  readonly request: ForwardRequest
  /** Time that the answer needs after the stages, of which a planned stop has to leave enough. */
  readonly answerTime: () => Millis
  /** Whether the caller already has a part of the answer. */
  readonly isResumed: () => boolean
  /** Failure domain of the engine that fits the request best, so that stages run close to it. */
  readonly preferredDomain: () => DomainId | undefined
}

/** A run of the stages, whose results are held until it is cancelled or their reader has read them. */
export interface StagesRun {
  readonly graph: StageGraphRun
  readonly results: Promise<Result<readonly StageResult[], StageFailure>>
}

/**
 * The stages of one request: what its final call reads, and runs of them that make it anew.
 *
 * @example
 * const made = await stages.run()
 * if (made.isOk) await call(stages.inputs)
 */
export class RequestStages {
  readonly #options: RequestStagesOptions
  /** Runs that are going on or whose results are held. */
  readonly #runs = new Set<StageGraphRun>()
  #current: StageGraphRun | undefined
  #inputs: readonly StageResult[] = []
  #areInputsFreed = false

  constructor (options: RequestStagesOptions) {
    this.#options = options
  }

  /** Results that the final call reads. */
  get inputs (): readonly StageResult[] {
    return this.#inputs
  }

  /** Whether another call could read the same results; also if the request needs none. */
  get areInputsHeld (): boolean {
    return this.#inputs.length === 0 || !this.#areInputsFreed
  }

  /** Least time in which the stages could be run once more. */
  get leastTime (): Millis {
    const { context: { stages }, request: { route, pieceCounts } } = this.#options
    return leastStageTime(route.stages, pieceCounts, stages.profileOf)
  }

  /** Runs the stages for the next call; what an earlier call read is freed. */
  async run (): Promise<Result<void, StageFailure>> {
    this.reset()
    const { route, pieceCounts } = this.#options.request
    if (route.stages.length === 0 || pieceCounts.every((count) => count === 0)) return Result.ok(undefined)
    const run = this.begin()
    const results = await run.results
    return results.map((inputs) => this.adopt(run, inputs))
  }

  /** Begins to run the stages, beside a call that reads the present results. */
  begin (): StagesRun {
    const { context: { stages, clock, log }, request: { attempt } } = this.#options
    const graph = new StageGraphRun(stages, this.#work())
    this.#runs.add(graph)
    const begunAt = clock.now()
    const results = graph.run().then((ended) => {
      const outcome = ended.isOk ? 'made' : ended.error.fault
      log.emit(FORWARDING_EVENTS.stagesEnded, { request: attempt, outcome, tookMs: millis(clock.now() - begunAt) })
      return ended
    })
    return { graph, results }
  }

  /** Lets the next call read the results of a run, instead of those that the last one read. */
  adopt ({ graph }: StagesRun, inputs: readonly StageResult[]): void {
    if (this.#current !== undefined && this.#current !== graph) this.drop(this.#current)
    this.#current = graph
    this.#inputs = inputs
    this.#areInputsFreed = false
  }

  /** Ends a run, or frees its results. */
  drop (graph: StageGraphRun): void {
    this.#runs.delete(graph)
    graph.cancel()
  }

  /** The final call has read its inputs. */
  release (): void {
    this.#areInputsFreed = true
    this.#current?.release()
  }

  /** Ends all runs and forgets their results. */
  reset (): void {
    this.cancel()
    this.#current = undefined
    this.#inputs = []
  }

  /** Ends all runs and frees their results. */
  cancel (): void {
    for (const graph of this.#runs) this.drop(graph)
  }

  #work (): ConstructorParameters<typeof StageGraphRun>[1] {
    const { context: { clock, firstEvents }, request, answerTime, isResumed, preferredDomain } = this.#options
    const { route, pieceCounts, attempt, pieceKey, priority, arrivedAt, deadline, isAllowedIn } = request
    // The caller of an interrupted stream soon disconnects, so its stages are due as if they did not have to queue.
    const resumedDue = clock.now() + RESUMED_STAGES_FACTOR * this.leastTime
    return {
      request: attempt,
      stages: route.stages,
      counts: pieceCounts,
      key: pieceKey,
      priority,
      due: millis(isResumed() ? resumedDue : arrivedAt + route.target - firstEvents.mean(route.name)),
      deadline: millis(deadline - MIN_CALL_TIME),
      answerTime: answerTime(),
      engineDomain: preferredDomain(),
      isAllowedIn
    }
  }
}

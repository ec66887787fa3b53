import type { ClassId, RequestId, ServiceId, StageId } from '@papayahill/common'
import type { ClassSettings, PipelineSettings } from '@papayahill/settings'

/** Calls that admitted requests still need of one service, for one class and stage. */
export interface PendingCalls {
  readonly class: ClassSettings
  readonly stage: StageId
  /** Calls not yet sent. */
  waiting: number
}

interface Commitment {
  readonly class: ClassSettings
  /** Stages without a slot so far, with their services. */
  readonly pendingStages: Map<StageId, ServiceId>
}

/**
 * Calls that admitted requests still need from each service, as input for the admission of further requests.
 *
 * @example
 * commitments.add(request, classSettings, pipeline)
 * commitments.stageStarted(request, stage)
 * commitments.remove(request)
 */
export class Commitments {
  readonly #requests = new Map<RequestId, Commitment>()
  readonly #pending = new Map<ServiceId, Map<string, PendingCalls>>()

  get size (): number {
    return this.#requests.size
  }

  add (request: RequestId, settings: ClassSettings, pipeline: PipelineSettings): void {
    const pendingStages = new Map(pipeline.stages.map((stage) => [stage.id, stage.service]))
    this.#requests.set(request, { class: settings, pendingStages })
    for (const stage of pipeline.stages) this.#adjust(settings, stage.id, stage.service, 1)
  }

  /** Records that the stage got its slot. */
  stageStarted (request: RequestId, stage: StageId): void {
    const commitment = this.#requests.get(request)
    const service = commitment?.pendingStages.get(stage)
    if (commitment === undefined || service === undefined) return
    commitment.pendingStages.delete(stage)
    this.#adjust(commitment.class, stage, service, -1)
  }

  /** Removes an ended request and returns its class, if it was known. */
  remove (request: RequestId): ClassSettings | undefined {
    const commitment = this.#requests.get(request)
    if (commitment === undefined) return undefined
    this.#requests.delete(request)
    for (const [stage, service] of commitment.pendingStages) this.#adjust(commitment.class, stage, service, -1)
    return commitment.class
  }

  pending (service: ServiceId): Iterable<PendingCalls> {
    return this.#pending.get(service)?.values() ?? []
  }

  #adjust (settings: ClassSettings, stage: StageId, service: ServiceId, change: number): void {
    const calls = this.#pendingOf(service)
    const key = keyOf(settings.id, stage)
    const entry = calls.get(key) ?? { class: settings, stage, waiting: 0 }
    entry.waiting += change
    if (entry.waiting > 0) calls.set(key, entry)
    else calls.delete(key)
  }

  #pendingOf (service: ServiceId): Map<string, PendingCalls> {
    const known = this.#pending.get(service)
    if (known !== undefined) return known
    const calls = new Map<string, PendingCalls>()
    this.#pending.set(service, calls)
    return calls
  }
}

const keyOf = (classId: ClassId, stage: StageId): string => `${classId}/${stage}`

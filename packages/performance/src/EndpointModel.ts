import type { Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { ConcurrencyCurve } from './ConcurrencyCurve.js'
import { CALLS_PER_SHAPE_FIT } from './constants.js'
import { LoadEstimate } from './LoadEstimate.js'
import { ReportedSlowdown } from './ReportedSlowdown.js'
import { SpeedEstimate } from './SpeedEstimate.js'
import type { WorkKind } from './types.js'

/** What was learnt of one kind of work at an endpoint. */
export interface KindModel {
  readonly speed: SpeedEstimate
  readonly curve: ConcurrencyCurve
}

/** What this instance has learnt of one incarnation of an endpoint. */
export class EndpointModel {
  readonly load = new LoadEstimate()
  readonly slowdown = new ReportedSlowdown()
  readonly #endpoint: Endpoint
  readonly #kinds = new Map<WorkKind, KindModel>()
  #reportedAt: Millis | undefined

  constructor (endpoint: Endpoint) {
    this.#endpoint = endpoint
  }

  get kinds (): ReadonlyMap<WorkKind, KindModel> {
    return this.#kinds
  }

  /** Takes in the endpoint's newest report. */
  update (): void {
    const { load } = this.#endpoint
    this.load.update(this.#endpoint)
    if (load?.slowdown === undefined || load.at === this.#reportedAt) return
    this.#reportedAt = load.at
    this.slowdown.report(load.slowdown, load.at)
  }

  kind (kind: WorkKind): KindModel {
    const known = this.#kinds.get(kind)
    if (known !== undefined) return known
    const model = { speed: new SpeedEstimate(), curve: new ConcurrencyCurve(this.slots) }
    this.#kinds.set(kind, model)
    return model
  }

  /** Slots as reported, else as listed. */
  get slots (): number {
    return Math.max(1, this.#endpoint.load?.slots ?? this.#endpoint.record.slots)
  }

  /** Factor on the time of a call that begins now as one of `concurrency`, by its place in the queue and its company. */
  factor (kind: WorkKind, concurrency: number): number {
    return (this.#kinds.get(kind)?.curve.factor(concurrency) ?? 1) * this.queueFactor(concurrency)
  }

  /** Factor on the time of a call that first waits for a slot. */
  queueFactor (concurrency: number): number {
    return 1 + Math.max(0, concurrency - this.slots) / this.slots
  }

  /** Records a call's deviation for the shape over concurrency. */
  learnShape (kind: WorkKind, concurrency: number, deviation: number, now: Millis): void {
    const { speed, curve } = this.kind(kind)
    curve.add(concurrency, deviation + Math.log(curve.factor(concurrency)), now)
    if (speed.calls % CALLS_PER_SHAPE_FIT === 0) speed.shift(curve.fit())
  }
}

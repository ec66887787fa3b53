import { millis } from '@papayahill/common'
import type { Clock, EventLog, Millis, ServiceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { MIN_LOAD_CERTAINTY, QUEUE_MARGIN, USE_WEIGHT } from './constants.js'
import { EndpointModel } from './EndpointModel.js'
import { ServiceUsual } from './ServiceUsual.js'
import { SlowEndpoints } from './SlowEndpoints.js'
import type { CallSample, CallStart, LearntSpeed, Work, WorkKind } from './types.js'

export interface EndpointPerformanceOptions {
  readonly clock: Clock
  readonly log: EventLog
}

/**
 * Learns how long work takes at each endpoint, and how many calls at once it takes well, from the times of its answers. It
 * is used only for services whose endpoints report their momentary slowdown.
 *
 * @example
 * const start = performance.begin(endpoint)
 * performance.record(endpoint, start, { kind: 'plain', key: route, amount: 1 }, took)
 * performance.expectedTime(endpoint, { kind: 'plain', key: route, amount: 1 })
 */
export class EndpointPerformance {
  readonly #clock: Clock
  readonly #models = new Map<Endpoint, EndpointModel>()
  readonly #usual = new Map<ServiceId, ServiceUsual>()
  readonly #slow: SlowEndpoints

  constructor ({ clock, log }: EndpointPerformanceOptions) {
    this.#clock = clock
    this.#slow = new SlowEndpoints(clock, log)
  }

  /** Whether any of the endpoints reports its slowdown, so that what is learnt is used for them. */
  isActive (endpoints: readonly Endpoint[]): boolean {
    return endpoints.some(({ load }) => load?.slowdown !== undefined)
  }

  /**
   * What is known when a call to the endpoint begins beside `load` others, which are estimated if not given; undefined where
   * the endpoint does not report its slowdown.
   */
  begin (endpoint: Endpoint, load?: number): CallStart | undefined {
    if (endpoint.load?.slowdown === undefined) return undefined
    const now = this.#clock.now()
    const model = this.#modelOf(endpoint)
    return {
      at: now,
      concurrency: (load ?? model.load.at(endpoint, now)) + 1,
      isLoadKnown: load !== undefined,
      loadCertainty: load === undefined ? model.load.certainty(now) : 1,
      slowdown: model.slowdown.at(now),
      isCold: endpoint.isCold(now)
    }
  }

  /** Learns from a complete answer that took `took` since the start; `endpoint.running` must not count the call any more. */
  record (endpoint: Endpoint, start: CallStart, work: Work, took: Millis): void {
    const now = this.#clock.now()
    const { isGone } = endpoint
    if (isGone || start.isCold || endpoint.isCold(now) || took <= 0 || work.amount <= 0) return
    const model = this.#modelOf(endpoint)
    const usual = this.#usualOf(endpoint.service)
    const { speed, curve } = model.kind(work.kind)
    const mean = usual.meanLevel(work.kind)
    const endConcurrency = start.isLoadKnown ? start.concurrency : model.load.at(endpoint, now) + 1
    // Without a recent report, a long wait for a slot cannot be told from slow work.
    const mayHaveWaited = Math.max(start.concurrency, endConcurrency) > model.slots + QUEUE_MARGIN
    if (mayHaveWaited && start.loadCertainty < MIN_LOAD_CERTAINTY) return
    const concurrency = endConcurrency + start.loadCertainty / 2 * (start.concurrency - endConcurrency)
    const slowdown = Math.sqrt(start.slowdown * model.slowdown.at(now))
    const served = took / work.amount / slowdown / model.queueFactor(start.concurrency)
    const expected = usual.timeOf(work, served / Math.exp(speed.level(now, mean)) / curve.factor(concurrency))
    const sample = { kind: work.kind, ratio: Math.log(served / expected) - mean, concurrency, startedAt: start.at, endedAt: now }
    const deviation = this.#learn(endpoint, sample)
    if (deviation !== undefined) usual.learn(work, deviation)
  }

  /** Learns from a call; returns its deviation from the expected, or undefined for an outlier. */
  #learn (endpoint: Endpoint, { kind, ratio, concurrency, startedAt, endedAt }: CallSample): number | undefined {
    const model = this.#modelOf(endpoint)
    const usual = this.#usualOf(endpoint.service)
    const { speed, curve } = model.kind(kind)
    const mean = usual.meanLevel(kind)
    const { bounded, rest, isChange } = speed.add({ ratio: ratio + mean - Math.log(curve.factor(concurrency)), startedAt, endedAt }, mean)
    // Outliers count for the shape, bounded: beyond a concurrency that is not known yet, calls are outliers.
    if (isChange) curve.clear()
    else model.learnShape(kind, concurrency, bounded, endedAt)
    if (rest !== undefined) {
      const level = speed.level(endedAt, mean)
      usual.learnLevel(kind, level)
      this.#slow.update(endpoint, speed.calls, level - usual.meanLevel(kind))
    }
    return rest
  }

  /** Expected time of work that begins now, or with `load` calls already there; undefined before the first call of its key. */
  expectedTime (endpoint: Endpoint, work: Work, load?: number): Millis | undefined {
    const usual = this.usualTime(endpoint.service, work)
    return usual === undefined ? undefined : millis(usual * this.expectedFactor(endpoint, work.kind, load))
  }

  /** The same as a multiple of the service's usual time of such work. */
  expectedFactor (endpoint: Endpoint, kind: WorkKind, load = this.load(endpoint)): number {
    return this.slowness(endpoint, kind) * this.#modelOf(endpoint).factor(kind, load + 1)
  }

  /**
   * Cost of sending the endpoint one more call beside `load` others: the call's own expected time, and the use that it makes of
   * what the endpoint takes well, as multiples of the usual time. With the time alone, the fastest endpoint would get all calls
   * until it slows down, from all instances.
   */
  loadedFactor (endpoint: Endpoint, kind: WorkKind, load: number): number {
    const use = (load + 1) / this.comfortableConcurrency(endpoint, kind)
    return this.slowness(endpoint, kind) * this.#modelOf(endpoint).factor(kind, load + 1) + USE_WEIGHT * use
  }

  /** Usual time of such work at the service; undefined before its first call. */
  usualTime (service: ServiceId, work: Work): Millis | undefined {
    const usual = this.#usual.get(service)?.usualTime(work)
    return usual === undefined ? undefined : millis(usual)
  }

  /** Time of work at the endpoint while it has few calls, as a multiple of the service's usual, with its momentary slowness. */
  slowness (endpoint: Endpoint, kind: WorkKind): number {
    const now = this.#clock.now()
    const model = this.#modelOf(endpoint)
    const mean = this.#usualOf(endpoint.service).meanLevel(kind)
    return Math.exp(model.kinds.get(kind)?.speed.level(now, mean) ?? mean) * model.slowdown.at(now)
  }

  /** Estimated calls at the endpoint, running or waiting. */
  load (endpoint: Endpoint): number {
    return this.#modelOf(endpoint).load.at(endpoint, this.#clock.now())
  }

  /** Concurrent calls beyond which the endpoint slows down; its slots where nothing else was learnt. */
  comfortableConcurrency (endpoint: Endpoint, kind: WorkKind): number {
    const model = this.#modelOf(endpoint)
    return model.kinds.get(kind)?.curve.comfortable ?? model.slots
  }

  /** What was learnt of a kind of work; undefined where nothing was. */
  learnt (endpoint: Endpoint, kind: WorkKind): LearntSpeed | undefined {
    const known = this.#models.get(endpoint)?.kinds.get(kind)
    const at = known?.speed.updatedAt
    if (known === undefined || at === undefined) return undefined
    const now = this.#clock.now()
    const mean = this.#usualOf(endpoint.service).meanLevel(kind)
    return { kind, level: known.speed.level(now, mean) - mean, concurrency: known.curve.comfortable, age: millis(now - at) }
  }

  /** Forgets an incarnation that is gone. */
  forget (endpoint: Endpoint): void {
    this.#models.delete(endpoint)
    this.#slow.forget(endpoint)
  }

  /** Endpoints that count as slow. */
  get slowCount (): number {
    return this.#slow.size
  }

  /** Ratio of the slowest to the fastest endpoint of each service and kind of work. */
  spread (): ReadonlyMap<string, number> {
    const now = this.#clock.now()
    const levels = new Map<string, number[]>()
    for (const [{ service }, model] of this.#models) {
      for (const [kind, { speed }] of model.kinds) {
        const key = `${service} ${kind}`
        const known = levels.get(key) ?? []
        known.push(speed.level(now, this.#usualOf(service).meanLevel(kind)))
        levels.set(key, known)
      }
    }
    return new Map([...levels].map(([key, found]) => [key, Math.exp(Math.max(...found) - Math.min(...found))]))
  }

  #modelOf (endpoint: Endpoint): EndpointModel {
    let model = this.#models.get(endpoint)
    if (model === undefined) {
      model = new EndpointModel(endpoint)
      if (!endpoint.isGone) this.#models.set(endpoint, model)
    }
    model.update()
    return model
  }

  #usualOf (service: ServiceId): ServiceUsual {
    const known = this.#usual.get(service)
    if (known !== undefined) return known
    const usual = new ServiceUsual()
    this.#usual.set(service, usual)
    return usual
  }
}

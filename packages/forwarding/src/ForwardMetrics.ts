import { BATCHING_EVENTS } from '@papayahill/batching'
import { MILLIS_PER_SECOND } from '@papayahill/common'
import type { EventFields, EventKind, EventLog, Millis } from '@papayahill/common'
import { LRUCache } from 'lru-cache'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { MAX_ROUTE_LABELS, MAX_WORKSPACE_LABELS } from './constants.js'
import { FORWARDING_EVENTS } from './events.js'
import type { ForwardObserver } from './Forwarder.js'
import type { RunEnd } from './RunEnds.js'
import type { ForwardRequest } from './types.js'

/** Upper bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 4, 6, 10, 20]
const PIECE_BUCKETS = [1, 2, 4, 8, 12, 16, 24, 32, 48, 64]
const OTHER_WORKSPACES = 'other'

/** Reads a gauge at collection, as one value or by label; undefined if there is no value yet. */
export type GaugeReader = () => ReadonlyMap<string, number> | number | undefined

/**
 * Counters, gauges and histograms of forwarded requests, in Prometheus text format. Logged events are counted by
 * name, so that refusals, retries and failures can be told apart without the log.
 *
 * @example
 * const metrics = new ForwardMetrics()
 * const log = metrics.countEvents(lines)
 * metrics.gauge('papayahill_waiting_requests', 'Requests waiting in the queue', () => forwarder.waiting)
 */
export class ForwardMetrics implements ForwardObserver {
  readonly #registry = new Registry()
  readonly #registers = [this.#registry]
  readonly #workspaces = new Set<string>()
  /** Outcomes that are counted of each route; configurations may name new routes again and again. */
  readonly #outcomes = new LRUCache<string, Set<string>>({
    max: MAX_ROUTE_LABELS, dispose: (outcomes, route) => this.#removeRoute(route, outcomes)
  })

  readonly #requests = new Counter({
    name: 'papayahill_requests_total', help: 'Requests by route and outcome', labelNames: ['route', 'outcome'], registers: this.#registers
  })

  readonly #byWorkspace = new Counter({
    name: 'papayahill_workspace_requests_total',
    help: 'Requests by workspace and outcome; workspaces beyond the first ones are counted as other',
    labelNames: ['workspace', 'outcome'],
    registers: this.#registers
  })

  readonly #latency = new Histogram({
    name: 'papayahill_request_seconds',
    help: 'Time to the complete answer',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS,
    registers: this.#registers
  })

  readonly #events = new Counter({
    name: 'papayahill_events_total', help: 'Logged events by name', labelNames: ['event'], registers: this.#registers
  })

  readonly #batchPieces = new Histogram({
    name: 'papayahill_batch_pieces', help: 'Pieces per batch', buckets: PIECE_BUCKETS, registers: this.#registers
  })

  readonly #batchSeconds = new Histogram({
    name: 'papayahill_batch_seconds', help: 'Processing time of a batch at its endpoint', buckets: LATENCY_BUCKETS, registers: this.#registers
  })

  readonly #admissionWait = new Histogram({
    name: 'papayahill_admission_wait_seconds',
    help: 'Forecast wait for stages at admission',
    buckets: LATENCY_BUCKETS,
    registers: this.#registers
  })

  /** Histograms that take their value from an event's fields. */
  readonly #fieldReaders: ReadonlyMap<EventKind, (fields: EventFields) => void> = new Map([
    [BATCHING_EVENTS.batchSent, ({ pieces }: EventFields) => this.#batchPieces.observe(Number(pieces))],
    [BATCHING_EVENTS.batchEnded, ({ tookMs }: EventFields) => this.#batchSeconds.observe(Number(tookMs) / MILLIS_PER_SECOND)],
    [FORWARDING_EVENTS.requestTaken, ({ waitMs }: EventFields) => this.#admissionWait.observe(Number(waitMs) / MILLIS_PER_SECOND)],
    [FORWARDING_EVENTS.requestUntimely, ({ waitMs }: EventFields) => this.#admissionWait.observe(Number(waitMs) / MILLIS_PER_SECOND)]
  ])

  /** Wraps a log so that its events are counted, including those that the log leaves out. */
  countEvents (log: EventLog): EventLog {
    return {
      emit: (kind: EventKind, fields: EventFields = {}): void => {
        this.#events.inc({ event: kind.name })
        this.#fieldReaders.get(kind)?.(fields)
        log.emit(kind, fields)
      }
    }
  }

  requestEnded ({ route, workspace }: ForwardRequest, end: RunEnd, took: Millis): void {
    const outcome = end.kind === 'failed' ? `${end.failure.kind}:${end.failure.run}` : end.kind
    this.#outcomesOf(route.name).add(outcome)
    this.#requests.inc({ route: route.name, outcome })
    this.#byWorkspace.inc({ workspace: this.#labelOf(workspace), outcome: end.kind })
    this.#latency.observe({ route: route.name }, took / MILLIS_PER_SECOND)
  }

  /** Adds a gauge that is read at collection; the keys of a map become the values of its label. */
  gauge (name: string, help: string, read: GaugeReader, label = 'of'): void {
    const gauge = new Gauge({
      name,
      help,
      labelNames: [label],
      registers: this.#registers,
      collect: () => {
        const value = read()
        gauge.reset()
        if (typeof value === 'number') gauge.set(value)
        else for (const [key, entry] of value ?? []) gauge.set({ [label]: key }, entry)
      }
    })
  }

  async text (): Promise<string> {
    return await this.#registry.metrics()
  }

  #outcomesOf (route: string): Set<string> {
    const known = this.#outcomes.get(route)
    if (known !== undefined) return known
    const outcomes = new Set<string>()
    this.#outcomes.set(route, outcomes)
    return outcomes
  }

  #removeRoute (route: string, outcomes: ReadonlySet<string>): void {
    for (const outcome of outcomes) this.#requests.remove({ route, outcome })
    this.#latency.remove({ route })
  }

  #labelOf (workspace: string | undefined): string {
    if (workspace === undefined) return OTHER_WORKSPACES
    if (this.#workspaces.size < MAX_WORKSPACE_LABELS) this.#workspaces.add(workspace)
    return this.#workspaces.has(workspace) ? workspace : OTHER_WORKSPACES
  }
}

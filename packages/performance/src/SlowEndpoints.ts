import type { Clock, EventLog, Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { EVENT_PERIOD, MAX_EVENTS_PER_PERIOD, MIN_SLOW_CALLS, RECOVERED_FACTOR, SLOW_FACTOR } from './constants.js'
import { PERFORMANCE_EVENTS } from './events.js'

/** Endpoints that count as slow, with hysteresis and a bounded number of events. */
export class SlowEndpoints {
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #slow = new Set<Endpoint>()
  /** When each endpoint was last logged; entries older than the period are dropped with the next event. */
  readonly #loggedAt = new Map<Endpoint, Millis>()

  constructor (clock: Clock, log: EventLog) {
    this.#clock = clock
    this.#log = log
  }

  get size (): number {
    return this.#slow.size
  }

  /** Takes in an endpoint's level relative to its service's mean, learnt from `calls` calls. */
  update (endpoint: Endpoint, calls: number, level: number): void {
    const isSlow = this.#slow.has(endpoint)
    const factor = Math.exp(level)
    if (!isSlow && calls >= MIN_SLOW_CALLS && factor > SLOW_FACTOR) {
      this.#slow.add(endpoint)
      this.#emit(endpoint, factor)
    } else if (isSlow && factor < RECOVERED_FACTOR) {
      this.#slow.delete(endpoint)
      this.#emit(endpoint, factor)
    }
  }

  forget (endpoint: Endpoint): void {
    this.#slow.delete(endpoint)
    this.#loggedAt.delete(endpoint)
  }

  #emit (endpoint: Endpoint, factor: number): void {
    const now = this.#clock.now()
    for (const [each, at] of this.#loggedAt) if (now - at >= EVENT_PERIOD) this.#loggedAt.delete(each)
    if (this.#loggedAt.has(endpoint) || this.#loggedAt.size >= MAX_EVENTS_PER_PERIOD) return
    this.#loggedAt.set(endpoint, now)
    const { endpointSlow, endpointRecovered } = PERFORMANCE_EVENTS
    const kind = this.#slow.has(endpoint) ? endpointSlow : endpointRecovered
    this.#log.emit(kind, { endpoint: endpoint.id, service: endpoint.service, timesUsual: Math.round(factor * 100) / 100 })
  }
}

import { millis } from '@papayahill/common'
import type { DomainId, Millis, ServiceId } from '@papayahill/common'
import { NEWEST_HOLD_WEIGHT } from './constants.js'
import type { ServiceLoad } from './types.js'

/** Counts the load of one service at the endpoints of one failure domain. */
export class LoadCounter implements ServiceLoad {
  readonly service: ServiceId
  readonly domain: DomainId
  running = 0
  waiting = 0
  begun = 0
  refused = 0
  holdTime: Millis = millis(0)

  constructor (service: ServiceId, domain: DomainId) {
    this.service = service
    this.domain = domain
  }

  begin (): void {
    this.running++
    this.begun++
  }

  /** Ends a call that held its slot for a time; undefined where that says nothing, as after a cut. */
  end (held: Millis | undefined): void {
    this.running--
    if (held === undefined) return
    const weight = this.holdTime === 0 ? 1 : NEWEST_HOLD_WEIGHT
    this.holdTime = millis(this.holdTime + weight * (held - this.holdTime))
  }
}

/**
 * This instance's load by service and failure domain, for `LoadReporter`.
 *
 * @example
 * const counter = counters.of(service, domain)
 * counter.begin()
 * counter.end(millis(120))
 */
export class LoadCounters {
  readonly #counters = new Map<ServiceId, Map<DomainId, LoadCounter>>()

  of (service: ServiceId, domain: DomainId): LoadCounter {
    let domains = this.#counters.get(service)
    if (domains === undefined) this.#counters.set(service, domains = new Map())
    let counter = domains.get(domain)
    if (counter === undefined) domains.set(domain, counter = new LoadCounter(service, domain))
    return counter
  }

  /** The loads of a service in all failure domains. */
  loads (service: ServiceId): Iterable<LoadCounter> {
    return this.#counters.get(service)?.values() ?? []
  }
}

import { millis } from '@papayahill/common'
import type { Clock, Incarnation, Millis, ServiceId } from '@papayahill/common'
import type { ReportBody, ReportSource } from '@papayahill/reports'
import { FULL_ENTRY_PERIOD, MAX_REPORT_ENTRIES, MAX_REPORTER_ENTRIES } from './constants.js'
import { encodeLoadReport } from './loadMessages.js'
import type { LoadEntry, LoadFigures } from './loadMessages.js'
import type { ServiceLoad } from './types.js'

export interface LoadReporterOptions {
  readonly clock: Clock
  /** Services whose endpoints are ordered. */
  readonly services: () => Iterable<ServiceId>
  /** This instance's load of a service, by failure domain. */
  readonly loads: (service: ServiceId) => Iterable<ServiceLoad>
}

interface Confirmed {
  readonly figures: LoadFigures
  /** When the entry was last sent with its names. */
  readonly fullAt: Millis
  readonly sentAt: Millis
}

/** Receivers whose state is kept; a report goes to two, and to others only after those have changed. */
const MAX_RECEIVERS = 4

const isSame = (left: LoadFigures, right: LoadFigures): boolean =>
  left.running === right.running && left.waiting === right.waiting && left.begun === right.begun && left.refused === right.refused &&
  Math.round(left.holdTime) === Math.round(right.holdTime)

const figuresOf = ({ running, waiting, begun, refused, holdTime }: ServiceLoad): LoadFigures =>
  ({ running, waiting, begun, refused, holdTime })

/**
 * Reports this instance's load of the services whose endpoints are ordered. Each receiver gets the entries that have
 * changed since it last confirmed them, and an empty report where none has: that it comes shows that the load is known.
 *
 * @example
 * new LoadReporter({ clock, services: () => scaledServices, loads: (service) => counters.loads(service) })
 */
export class LoadReporter implements ReportSource {
  readonly name = 'load'
  readonly #options: LoadReporterOptions
  readonly #startedAt: Millis
  readonly #indexes = new Map<string, number>()
  readonly #confirmed = new Map<Incarnation, Map<number, Confirmed>>()

  constructor (options: LoadReporterOptions) {
    this.#options = options
    this.#startedAt = options.clock.now()
  }

  next (receiver: Incarnation): ReportBody | undefined {
    const { clock, services, loads } = this.#options
    const now = clock.now()
    const confirmed = this.#confirmedBy(receiver)
    const changed: LoadEntry[] = []
    let hasServices = false
    for (const service of services()) {
      hasServices = true
      for (const load of loads(service)) this.#addChanged(changed, load, confirmed, now)
    }
    if (!hasServices) return undefined
    const entries = this.#selected(changed, confirmed)
    return {
      body: encodeLoadReport({ elapsed: millis(now - this.#startedAt), entries }),
      confirm: () => this.#confirm(receiver, entries, now)
    }
  }

  #addChanged (changed: LoadEntry[], load: ServiceLoad, confirmed: ReadonlyMap<number, Confirmed>, now: Millis): void {
    const index = this.#indexOf(load)
    if (index >= MAX_REPORTER_ENTRIES) return
    const known = confirmed.get(index)
    const isFull = known === undefined || now - known.fullAt >= FULL_ENTRY_PERIOD
    if (!isFull && isSame(known.figures, load)) return
    changed.push({ ...figuresOf(load), index, names: isFull ? { service: load.service, domain: load.domain } : undefined })
  }

  /** As many entries as a report may have, the ones that were sent longest ago first. */
  #selected (changed: readonly LoadEntry[], confirmed: ReadonlyMap<number, Confirmed>): readonly LoadEntry[] {
    if (changed.length <= MAX_REPORT_ENTRIES) return changed
    const ageOf = ({ index }: LoadEntry): number => confirmed.get(index)?.sentAt ?? -1
    return changed.toSorted((left, right) => ageOf(left) - ageOf(right)).slice(0, MAX_REPORT_ENTRIES)
  }

  #confirm (receiver: Incarnation, entries: readonly LoadEntry[], sentAt: Millis): void {
    const confirmed = this.#confirmed.get(receiver)
    if (confirmed === undefined) return
    for (const entry of entries) {
      const fullAt = entry.names === undefined ? confirmed.get(entry.index)?.fullAt : sentAt
      if (fullAt !== undefined) confirmed.set(entry.index, { figures: entry, fullAt, sentAt })
    }
  }

  #confirmedBy (receiver: Incarnation): Map<number, Confirmed> {
    const confirmed = this.#confirmed.get(receiver) ?? new Map<number, Confirmed>()
    this.#confirmed.delete(receiver)
    this.#confirmed.set(receiver, confirmed)
    if (this.#confirmed.size > MAX_RECEIVERS) this.#confirmed.delete(this.#confirmed.keys().next().value!)
    return confirmed
  }

  #indexOf ({ service, domain }: ServiceLoad): number {
    const key = `${service} ${domain}`
    const known = this.#indexes.get(key)
    if (known !== undefined) return known
    this.#indexes.set(key, this.#indexes.size)
    return this.#indexes.size - 1
  }
}

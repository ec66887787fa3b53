import { millis } from '@papayahill/common'
import type { Clock, EndpointId, EventLog, Millis, Timer } from '@papayahill/common'
import { COLD_REPORT_PERIOD, MAINTENANCE_PERIOD, MISSED_REPORTS } from './constants.js'
import type { EndpointEntry } from './EndpointEntry.js'
import { ENDPOINTS_EVENTS } from './events.js'
import type { OutlierDetector } from './OutlierDetector.js'
import type { PauseGuard } from './PauseGuard.js'
import type { ServicePool } from './ServicePool.js'
import type { SlotQueries } from './SlotQueries.js'
import type { LifecycleState } from './types.js'
import type { WatchManager } from './WatchManager.js'

/** Report delay that is tolerated when missed reports are counted. */
const REPORT_DELAY = millis(1000)
/** Rounds between two checks for outliers. */
const OUTLIER_ROUNDS = 5

export interface EndpointMaintenanceOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly watches: WatchManager
  readonly slotQueries: SlotQueries
  readonly outliers: OutlierDetector
  readonly pauses: PauseGuard
  readonly pools: () => Iterable<ServicePool>
  /** Called after each check, since time alone may have changed the state of an endpoint. */
  readonly onChange: (entry: EndpointEntry) => void
}

/**
 * Checks the watched endpoints periodically for changes that no message reports: missing reports, overdue calls,
 * expired waits, and slot queries that are still to be sent.
 *
 * @example
 * const maintenance = new EndpointMaintenance({ clock, log, watches, slotQueries, outliers, pauses, pools, onChange })
 * maintenance.start()
 */
export class EndpointMaintenance {
  readonly #options: EndpointMaintenanceOptions
  readonly #states = new Map<EndpointId, LifecycleState>()
  #timer: Timer | undefined
  #rounds = 0

  constructor (options: EndpointMaintenanceOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.every(MAINTENANCE_PERIOD, () => this.#tick())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #tick (): void {
    const { clock, watches, outliers, pauses, pools } = this.#options
    pauses.tick()
    for (const entry of watches.watched) this.#check(entry, clock.now())
    this.#rounds++
    if (this.#rounds % OUTLIER_ROUNDS === 0) for (const pool of pools()) outliers.evaluate(pool)
  }

  #check (entry: EndpointEntry, now: Millis): void {
    const { watches, slotQueries, onChange } = this.#options
    this.#checkReports(entry, now)
    if (entry.isSuspect(now)) watches.pollNow(entry)
    entry.ledger?.expire(now, entry.olderIncarnationSeenAt)
    if (entry.state === 'cold' && entry.ledger !== undefined) slotQueries.queryAll(entry.ledger, () => onChange(entry))
    onChange(entry)
    this.#logState(entry)
  }

  #checkReports (entry: EndpointEntry, now: Millis): void {
    if (entry.report === undefined || entry.areReportsMissing) return
    const period = entry.state === 'warm' ? this.#options.watches.warmPeriod() : COLD_REPORT_PERIOD
    if (now - entry.reportAskedAt <= MISSED_REPORTS * period + REPORT_DELAY) return
    entry.areReportsMissing = true
    this.#options.log.emit(ENDPOINTS_EVENTS.reportsMissing, { endpoint: entry.listed.id })
  }

  #logState (entry: EndpointEntry): void {
    const { id } = entry.listed
    const before = this.#states.get(id)
    if (before === entry.state) return
    this.#states.set(id, entry.state)
    this.#options.log.emit(ENDPOINTS_EVENTS.endpointState, { endpoint: id, before, state: entry.state })
  }
}

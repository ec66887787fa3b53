import { millis } from '@papayahill/common'
import type {
  Clock, DomainId, EndpointId, EventLog, Incarnation, InstanceId, Millis, Random, RegionId, ServiceId, Timer
} from '@papayahill/common'
import type { InstanceList, InstanceListing, ListedEndpoint } from '@papayahill/platform'
import type { ServiceKind } from '@papayahill/settings'
import { LIST_PERIOD } from './constants.js'
import { ENDPOINTS_EVENTS } from './events.js'
import type {
  EndpointAccess, EndpointConnection, EndpointLease, EndpointPool, EndpointStatus, LeaseWant, LoadReport, RosterCopy,
  ServiceCapacity, ShareChannel
} from './types.js'

/** The life of the entry instance that a table belongs to. */
export interface InstanceSelf {
  readonly id: InstanceId
  readonly incarnation: Incarnation
}

export interface EndpointTableOptions {
  readonly self: InstanceSelf
  /** Failure domain of this instance. */
  readonly domain: DomainId
  /** Region of a failure domain; undefined where the configuration does not name it. */
  readonly regionOf: (domain: DomainId) => RegionId | undefined
  readonly clock: Clock
  readonly random: Random
  readonly access: EndpointAccess
  readonly list: InstanceList
  readonly roster: RosterCopy
  readonly shares: ShareChannel
  /** Failure domains that are out now: by configuration or by latch. */
  readonly domainsOut: () => ReadonlySet<DomainId>
  /** Kind of a service; undefined where the configuration does not name it. */
  readonly serviceKind: (service: ServiceId) => ServiceKind | undefined
  readonly log: EventLog
}

interface Entry {
  listed: ListedEndpoint
  connection: EndpointConnection | undefined
  report: LoadReport | undefined
  busy: number
}

/**
 * All endpoints as one instance sees and may use them.
 *
 * @example
 * const table = new EndpointTable({ self, domain, regionOf, clock, random, access, list, roster, shares, domainsOut, serviceKind, log })
 * table.start()
 * const lease = table.tryLease({ service, versions, class: classId, workspace, exclude: new Set() })
 */
export class EndpointTable implements EndpointPool {
  readonly #options: EndpointTableOptions
  readonly #entries = new Map<EndpointId, Entry>()
  readonly #listeners = new Map<ServiceId, Array<() => void>>()
  #timer: Timer | undefined
  #next = 0

  constructor (options: EndpointTableOptions) {
    this.#options = options
  }

  start (): void {
    void this.#poll()
    this.#timer = this.#options.clock.every(LIST_PERIOD, () => { void this.#poll() })
  }

  stop (): void {
    this.#timer?.cancel()
    for (const entry of this.#entries.values()) entry.connection?.close()
  }

  tryLease (want: LeaseWant): EndpointLease | undefined {
    const out = this.#options.domainsOut()
    for (const version of want.versions) {
      const usable = [...this.#entries.values()].filter(({ listed, connection, report, busy }) =>
        listed.service === want.service && listed.version === version && listed.state === 'live' &&
        !out.has(listed.domain) && !want.exclude.has(listed.id) && connection?.isOpen === true && busy < (report?.bears ?? 0))
      const entry = usable[this.#next++ % usable.length]
      if (entry !== undefined) return this.#lease(entry)
    }
    return undefined
  }

  capacity (service: ServiceId): ServiceCapacity {
    const entries = [...this.#entries.values()].filter((entry) => entry.listed.service === service)
    const slots = entries.reduce((sum, entry) => sum + (entry.report?.bears ?? 0), 0)
    const busy = entries.reduce((sum, entry) => sum + entry.busy, 0)
    return { slots, busy, meanCall: millis(0), load: slots === 0 ? 0 : busy / slots }
  }

  onFree (service: ServiceId, listener: () => void): void {
    this.#listeners.set(service, [...this.#listeners.get(service) ?? [], listener])
  }

  snapshot (): readonly EndpointStatus[] {
    return [...this.#entries.values()].map((entry) => ({
      endpoint: entry.listed,
      state: entry.report === undefined ? 'starting' : entry.report.isWarm ? 'warm' : 'cold',
      incarnation: entry.connection?.incarnation,
      busy: entry.busy,
      limit: entry.report?.bears ?? 0
    }))
  }

  #lease (entry: Entry): EndpointLease {
    const connection = entry.connection!
    let isHeld = true
    entry.busy++
    return {
      endpoint: entry.listed.id,
      incarnation: connection.incarnation,
      version: entry.listed.version,
      domain: entry.listed.domain,
      connection,
      release: (_outcome, _took: Millis) => {
        if (!isHeld) return
        isHeld = false
        entry.busy--
        this.#tellFree(entry.listed.service)
      }
    }
  }

  async #poll (): Promise<void> {
    const listing = await this.#options.list.list()
    if (listing.isErr) return this.#options.log.emit(ENDPOINTS_EVENTS.listUnreadable, { cause: listing.error.kind })
    this.#take(listing.value)
    await Promise.all([...this.#entries.values()].map((entry) => this.#refresh(entry)))
  }

  #take (listing: InstanceListing): void {
    for (const listed of listing.endpoints) {
      const entry = this.#entries.get(listed.id)
      if (entry === undefined) this.#entries.set(listed.id, { listed, connection: undefined, report: undefined, busy: 0 })
      else entry.listed = listed
    }
    const listedIds = new Set(listing.endpoints.map((endpoint) => endpoint.id))
    for (const id of this.#entries.keys()) if (!listedIds.has(id)) this.#entries.delete(id)
  }

  async #refresh (entry: Entry): Promise<void> {
    if (entry.connection?.isOpen !== true) await this.#open(entry)
    const report = await this.#options.access.report(entry.listed)
    if (report.isErr) return
    entry.report = report.value
    this.#tellFree(entry.listed.service)
  }

  async #open (entry: Entry): Promise<void> {
    entry.connection = undefined
    const kind = this.#options.serviceKind(entry.listed.service)
    if (kind === undefined) return
    const opened = await this.#options.access.open(entry.listed, kind)
    if (opened.isOk) entry.connection = opened.value
  }

  #tellFree (service: ServiceId): void {
    for (const listener of this.#listeners.get(service) ?? []) listener()
  }
}

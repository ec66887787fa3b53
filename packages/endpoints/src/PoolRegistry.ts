import type { Clock, DomainId, Millis, RegionId, ServiceId } from '@papayahill/common'
import type { EndpointEntry } from './EndpointEntry.js'
import { ServicePool } from './ServicePool.js'
import type { Nearness } from './ServicePool.js'
import type { RosterCopy } from './types.js'

export interface PoolRegistryOptions {
  /** Failure domain of this instance. */
  readonly domain: DomainId
  readonly regionOf: (domain: DomainId) => RegionId | undefined
  readonly clock: Clock
  readonly roster: RosterCopy
  readonly rosterMaxAge: Millis
  readonly domainsOut: () => ReadonlySet<DomainId>
}

/**
 * The pools of all services; places endpoints in them by their current state.
 *
 * @example
 * const pools = new PoolRegistry({ domain, regionOf, clock, roster, rosterMaxAge, domainsOut })
 * if (pools.place(entry)) pools.of(entry.listed.service).notifyFree()
 */
export class PoolRegistry {
  readonly #options: PoolRegistryOptions
  readonly #pools = new Map<ServiceId, ServicePool>()
  #rosterSeen: { readonly version: number, readonly at: Millis } | undefined

  constructor (options: PoolRegistryOptions) {
    this.#options = options
  }

  all (): Iterable<ServicePool> {
    return this.#pools.values()
  }

  find (service: ServiceId): ServicePool | undefined {
    return this.#pools.get(service)
  }

  of (service: ServiceId): ServicePool {
    const known = this.#pools.get(service) ?? new ServicePool(service)
    this.#pools.set(service, known)
    return known
  }

  /** Whether the roster copy is recent enough to use slots of cold endpoints in this event loop iteration. */
  isRosterFresh (): boolean {
    const { roster, rosterMaxAge } = this.#options
    return roster.isMember() && roster.age() <= rosterMaxAge
  }

  /** When this instance first saw the current version of the roster. */
  rosterSeenAt (): Millis {
    const { clock, roster } = this.#options
    const { version } = roster.view()
    if (this.#rosterSeen?.version !== version) this.#rosterSeen = { version, at: clock.now() }
    return this.#rosterSeen.at
  }

  nearness (domain: DomainId): Nearness {
    const { domain: own, regionOf } = this.#options
    if (domain === own) return 0
    const region = regionOf(domain)
    return region !== undefined && region === regionOf(own) ? 1 : 2
  }

  /** Places an endpoint by its current state; returns true if it has more free capacity than before. */
  place (entry: EndpointEntry): boolean {
    const { clock, roster, domainsOut } = this.#options
    const { domain, service } = entry.listed
    entry.isOut = domainsOut().has(domain)
    entry.updateLedger(roster.view(), this.rosterSeenAt())
    return this.of(service).place(entry, {
      nearness: this.nearness(domain), now: clock.now(), isRosterFresh: this.isRosterFresh()
    })
  }
}

import type { Clock, DomainId, EndpointIncarnation, EventLog, Incarnation, InstanceId, Millis, Random, RegionId, ServiceId } from '@papayahill/common'
import type { InstanceList } from '@papayahill/stores'
import type { ServiceKind } from '@papayahill/settings'
import type { EndpointAccess, PeerChannel, RosterCopy } from './types.js'

/** The instance, and its incarnation, that a table belongs to. */
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
  readonly channel: PeerChannel
  /** Failure domains that are out now, by configuration or by latch. */
  readonly domainsOut: () => ReadonlySet<DomainId>
  /** Kind of a service; undefined where the configuration does not name it. */
  readonly serviceKind: (service: ServiceId) => ServiceKind | undefined
  readonly log: EventLog
  /** Called when an incarnation that carried calls has ended without leaving first. */
  readonly onIncarnationEnded?: (incarnation: EndpointIncarnation) => void
  /** Maximum age of the roster copy for use of a slot of a cold endpoint; changed only by benchmarks. */
  readonly rosterMaxAge?: Millis
  /** Whether prefixes are routed to endpoints that cache them; turned off only by benchmarks. */
  readonly hasAffinity?: boolean
}

import type { Clock, DomainId, EventLog, Failure, InstanceId, Random, RegionId } from '@papayahill/common'
import type { Claims } from '@papayahill/claims'
import type { ConfigLog, Roster } from '@papayahill/control'
import type { Cost } from '@papayahill/cost'
import type { EndpointAccess, EndpointPool } from '@papayahill/endpoints'
import type { Metrics } from '@papayahill/metrics'
import type { OrderChannel, Orders } from '@papayahill/orders'
import type { Peers } from '@papayahill/peers'
import type { PipelineRunner } from '@papayahill/pipeline'
import type { QuarantineManager } from '@papayahill/quarantine'
import type { InstanceList, ObjectStore, TableService } from '@papayahill/stores'
import type { Moves } from '@papayahill/rollout'
import type { Result } from 'true-myth'

export interface InstanceOptions {
  readonly self: InstanceId
  readonly domain: DomainId
  readonly region: RegionId
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly table: TableService
  readonly objects: ObjectStore
  readonly instanceList: InstanceList
  readonly access: EndpointAccess
  readonly orderChannel: OrderChannel
  readonly peers: Peers
}

/** The parts of an instance that the callers' and operators' interfaces use. */
export interface EntryInstance {
  readonly self: InstanceId
  readonly runner: PipelineRunner
  readonly config: ConfigLog
  readonly roster: Roster
  readonly claims: Claims
  readonly moves: Moves
  readonly cost: Cost
  readonly metrics: Metrics
  readonly orders: Orders
  readonly quarantines: Pick<QuarantineManager, 'list' | 'reportersOf' | 'order'>
  readonly pool: EndpointPool
  readonly peers: Peers
  /** Whether the load balancer may send new requests: false until the start has completed and while draining. */
  readonly isReady: boolean
  start (): Promise<Result<void, Failure>>
  /**
   * Planned stop: the load balancer's health check fails, all requests and streams run to their end,
   * outcomes and cost are handed over, and the instance leaves the roster.
   */
  drain (): Promise<void>
  /** Stops all timers and closes all links immediately; running requests are aborted. */
  stop (): Promise<void>
}

import type { DomainId, Incarnation, Millis, ServiceId } from '@papayahill/common'
import type { ScalingProfile } from '@papayahill/directory'
import type { DutyCallResult, FencingToken, Permit } from '@papayahill/duties'
import type { HoldFit } from './holdFit.js'

/** Load of one service at the endpoints of one failure domain, as one instance sees it. */
export interface ServiceLoad {
  readonly service: ServiceId
  readonly domain: DomainId
  /** Calls in progress. */
  readonly running: number
  /** Requests that wait for an endpoint. */
  readonly waiting: number
  /** Requests begun since the instance started. */
  readonly begun: number
  /** Requests refused for want of room since the instance started. */
  readonly refused: number
  /** Mean time for which a call holds a slot; 0 before the first call has ended. */
  readonly holdTime: Millis
}

/** What one instance last reported for a service and failure domain. */
export interface LoadSample {
  readonly from: Incarnation
  readonly domain: DomainId
  /** Time since the instance was last heard of. */
  readonly age: Millis
  readonly running: number
  readonly waiting: number
  readonly begunPerSecond: number
  readonly refusedPerSecond: number
  /** Requests that came: begun, refused, or still waiting. */
  readonly arrivedPerSecond: number
  /** The same between the last two reports alone. */
  readonly newestPerSecond: number
  readonly holdTime: Millis
}

/** A service's endpoints in one failure domain. */
export interface DomainEndpoints {
  readonly domain: DomainId
  /** Taken out by the operators: its endpoints get no work. */
  readonly isOut: boolean
  /** Endpoints that can accept work, including cold ones. */
  readonly listed: number
  readonly cold: number
  /** Calls that all endpoints which can accept work take well together. */
  readonly concurrency: number
  /** Number that was ordered last. */
  readonly ordered: number
}

/** Concurrency that callers needed at one time, in calls. */
export interface DemandPoint {
  readonly at: Millis
  readonly demand: number
}

/** Endpoints that were needed in all failure domains together at one time, not rounded. */
export interface NeedPoint {
  readonly at: Millis
  readonly endpoints: number
}

/** What the planner remembers of one service from plan to plan. */
export interface ScalingHistory {
  readonly demands: readonly DemandPoint[]
  readonly needs: readonly NeedPoint[]
  /** Since when enough instances have been heard of without a break; undefined if they are not. */
  readonly heardSince: Millis | undefined
  /** How the hold time of a call depends on the utilisation of the endpoints. */
  readonly holdFit: HoldFit
  /** Calls that one endpoint takes well, when last known; 0 if unknown. */
  readonly concurrency: number
  /** When each failure domain that is out went out. */
  readonly outSince: ReadonlyMap<DomainId, Millis>
}

export interface ScalingInput {
  readonly now: Millis
  readonly profile: ScalingProfile
  /** Time for which a new endpoint is cold. */
  readonly coldTime: Millis
  readonly domains: readonly DomainEndpoints[]
  readonly samples: readonly LoadSample[]
  /** Instances that are alive. */
  readonly members: ReadonlySet<Incarnation>
  /** Instances that were heard of lately, including those without load. */
  readonly heard: ReadonlySet<Incarnation>
  /** A move between versions of the service is under way. */
  readonly isMoving: boolean
  readonly history: ScalingHistory
}

/**
 * Why a plan is as it is.
 * - `limits`: an order lay outside `min` and `max`.
 * - `samples`, `move`, `recent`, `booting`: fewer endpoints would do, but samples are missing, a move is under way, the need was
 *   higher a short time ago, or the endpoints that are to carry the rest do not serve yet.
 */
export type ScalingReason =
  'steady' | 'load' | 'growth' | 'waiting' | 'domain-out' | 'falling' | 'limits' | 'samples' | 'move' | 'recent' | 'booting'

export interface ScalingPlan {
  /** Wanted number of endpoints in each failure domain. */
  readonly endpoints: ReadonlyMap<DomainId, number>
  readonly reason: ScalingReason
  /** Concurrency that callers need now, in calls. */
  readonly demand: number
  /** The same when endpoints that are ordered now will serve. */
  readonly forecast: number
  /** Endpoints needed in all failure domains together. */
  readonly needed: number
  readonly history: ScalingHistory
}

/** The lease of the duties, as far as it is needed here. */
export interface ScalingLease {
  readonly isHeld: boolean
  /** The token if the lease is certain to last for another `span`. */
  permit (span: Millis): FencingToken | undefined
  onChange (listener: () => void): void
}

/** An order to the platform: so many endpoints of a service in a failure domain. */
export interface EndpointOrder {
  readonly service: ServiceId
  readonly domain: DomainId
  readonly endpoints: number
}

/** Sends orders to the platform; calls `permit` right before the first byte, and sends nothing where it returns undefined. */
export interface ScalingChannel {
  order (order: EndpointOrder, permit: Permit): Promise<DutyCallResult>
}

import type { ClassId, EndpointId, Failure, Millis, RequestId, ServiceId, StageId, VersionId, WorkspaceId } from '@papayahill/common'
import type { EndpointLease } from '@papayahill/endpoints'
import type { ClassSettings, PipelineSettings } from '@papayahill/settings'
import type { Result } from 'true-myth'

/** A request to be admitted, before any paid work. */
export interface AdmissionRequest {
  readonly request: RequestId
  readonly workspace: WorkspaceId
  readonly class: ClassSettings
  readonly pipeline: PipelineSettings
  readonly startedAt: Millis
}

/** Request of one stage of an admitted request for a slot. */
export interface StageLeaseRequest {
  readonly request: RequestId
  readonly workspace: WorkspaceId
  readonly class: ClassId
  readonly stage: StageId
  readonly service: ServiceId
  readonly versions: readonly VersionId[]
  readonly prefix?: string
  readonly exclude: ReadonlySet<EndpointId>
  /** Monotonic time by which this stage's call must end for the later stages to finish in time. */
  readonly stageDeadline: Millis
  /** Earlier time by which the call should end to meet the first-chunk target of a streamed answer; affects the queue order only. */
  readonly softDeadline?: Millis
  /** Forecast time of this stage and the later ones. */
  readonly remaining: Millis
  readonly attempt: number
  readonly signal: AbortSignal
}

export interface Scheduler {
  /** Admits or refuses a request as a whole; a refusal is `not-run` and has a `retryAfter`. */
  admit (request: AdmissionRequest): Result<void, Failure>
  /** Removes a request from the forecast load. Call it once for each admitted request. */
  finished (request: RequestId, isTargetMet?: boolean): void
  /**
   * Waits in the service's queue and runs `use` with a slot, in the event loop iteration in which the slot is granted.
   * Resolves to a failure if no slot became free in time.
   */
  withLease<Value> (leaseRequest: StageLeaseRequest, use: (lease: EndpointLease) => Promise<Value>): Promise<Result<Value, Failure>>
  /** Takes one retry from the budget of the class and service; false if none is left or the service is overloaded. */
  takeRetry (classId: ClassId, service: ServiceId): boolean
  /** Whether this instance has a slot for one more call to the service now. */
  hasFreeSlot (service: ServiceId): boolean
  /** Forecast time of one call of a stage from recent calls, without the wait for a slot. */
  forecast (classId: ClassId, stage: StageId, service: ServiceId): Millis
}

import type { CallId, ClassId, DomainId, EndpointId, RequestId, ServiceId, VersionId, WorkspaceId } from './ids.js'
import type { ErrorKind, RunStatus } from './errors.js'
import type { Millis, Tokens } from './units.js'

/** Work for one call as reported by its endpoint; the basis of metering. */
export interface StageUsage {
  readonly tokensIn: Tokens
  readonly tokensCached: Tokens
  readonly tokensOut: Tokens
  readonly busy: Millis
}

/**
 * How one stage call ended.
 * - `not-sent`: no byte of it was sent.
 * - `refused`: the endpoint stated that it did not start the call.
 * - `crossed`: the answer had the id of another call and was dropped.
 */
export type CallOutcome =
  'done' | 'failed' | 'timed-out' | 'cut' | 'crossed' | 'refused' | 'not-sent' | 'cancelled'

/** Cause of paid work that did not contribute to an answer. */
export type WasteCause = 'retry' | 'cancelled' | 'abandoned' | 'refused-downstream'

/** A finished stage call: the common input of cost, evidence and histograms. */
export interface StageRecord {
  readonly call: CallId
  readonly service: ServiceId
  readonly version: VersionId
  readonly endpoint: EndpointId
  readonly domain: DomainId
  readonly class: ClassId
  readonly workspace: WorkspaceId
  readonly outcome: CallOutcome
  readonly startedAt: Millis
  /** Time in the queue before the call was sent. */
  readonly queued: Millis
  readonly took: Millis
  readonly firstChunk?: Millis
  readonly worstGap?: Millis
  readonly usage: StageUsage
  /** False if the endpoint did not report its work, so that `usage` is empty. */
  readonly isUsageKnown?: boolean
  /** Set if the work is already known not to contribute to an answer. */
  readonly waste?: WasteCause
}

/** A finished request, whose caller has the final answer. */
export interface RequestRecord {
  readonly request: RequestId
  readonly class: ClassId
  readonly workspace: WorkspaceId
  readonly outcome: 'answered' | 'refused' | 'failed'
  readonly error?: ErrorKind
  readonly run?: RunStatus
  readonly isTargetMet: boolean
  readonly startedAt: Millis
  readonly took: Millis
  readonly firstChunk?: Millis
  readonly worstGap?: Millis
}

/** Observes the end of stages and requests; used by metering, evidence and histograms. */
export interface ServingObserver {
  stageEnded (record: StageRecord): void
  /** `stages` are all stage calls of the request, in order. */
  requestEnded (record: RequestRecord, stages: readonly StageRecord[]): void
}

import type {
  BodyDigest, CallId, ClassId, DomainId, EndpointId, EndpointIncarnation, IdempotencyKey, InstanceId, Millis, RequestId,
  RunStatus, ServiceId, VersionId, WorkspaceId
} from '@papayahill/common'

/**
 * An event observed by a caller, an endpoint or the platform. It is reported by their stand-ins, never by the code under
 * test. All times are on one clock.
 */
export type TraceEvent =
  | { readonly type: 'request-sent', readonly at: Millis, readonly request: RequestId, readonly instance: InstanceId, readonly workspace: WorkspaceId, readonly class: ClassId, readonly digest: BodyDigest, readonly key?: IdempotencyKey, readonly isRepeatable: boolean }
  | { readonly type: 'request-answered', readonly at: Millis, readonly request: RequestId, readonly outcome: 'answered' | 'refused' | 'failed' | 'cut', readonly run?: RunStatus, /** Request that the answer's body was made for, as the endpoints wrote it into the body. */ readonly madeFor?: RequestId, /** Chunk indexes in the order received. */ readonly chunks?: readonly number[], readonly isWhole: boolean }
  | { readonly type: 'work-started', readonly at: Millis, readonly endpoint: EndpointId, readonly incarnation: EndpointIncarnation, readonly domain: DomainId, readonly service: ServiceId, readonly version: VersionId, readonly call: CallId, readonly instance?: InstanceId, readonly key?: IdempotencyKey, /** Calls running at the endpoint, including this one. */ readonly running: number, /** Concurrent calls that the endpoint can currently run. */ readonly maxConcurrency: number, readonly isWarm: boolean, /** Whether its last restart kept the connections open. */ readonly isSilentRestart: boolean }
  | { readonly type: 'work-ended', readonly at: Millis, readonly endpoint: EndpointId, readonly call: CallId, readonly outcome: 'done' | 'failed' | 'cancelled' }
  | { readonly type: 'effect', readonly at: Millis, readonly service: ServiceId, readonly workspace: WorkspaceId, readonly key: IdempotencyKey, readonly request: RequestId }
  | { readonly type: 'endpoint-leaving', readonly at: Millis, readonly endpoint: EndpointId }
  | { readonly type: 'domain-out', readonly at: Millis, readonly domain: DomainId }
  | { readonly type: 'domain-in', readonly at: Millis, readonly domain: DomainId }
  | { readonly type: 'config-accepted', readonly at: Millis, readonly version: number, readonly digest: string }
  | { readonly type: 'config-in-force', readonly at: Millis, readonly instance: InstanceId, /** Number of the instance's incarnation. A new incarnation may start with a lower version. */ readonly incarnation: number, readonly version: number, readonly digest: string }
  | { readonly type: 'instance-stopping', readonly at: Millis, readonly instance: InstanceId }
  | { readonly type: 'instance-died', readonly at: Millis, readonly instance: InstanceId }
  | { readonly type: 'version-bad', readonly at: Millis, readonly service: ServiceId, readonly version: VersionId }
  | { readonly type: 'evidence-suffices', readonly at: Millis, readonly service: ServiceId, readonly version: VersionId }

export type TraceEventOf<Type extends TraceEvent['type']> = Extract<TraceEvent, { readonly type: Type }>

/** Identifiers of the invariants, which the README describes. */
export type InvariantName =
  | 'results-intact' | 'cold-start-borne' | 'domain-out-respected' | 'bad-version-contained' | 'answers-whole'
  | 'not-run-true' | 'at-most-once' | 'leaving-respected' | 'planned-stop-graceful' | 'config-monotone'

/** One violation of an invariant. */
export interface Violation {
  readonly invariant: InvariantName
  readonly at: Millis
  readonly detail: string
}

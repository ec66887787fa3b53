import type {
  CallId, CallOutcome, ClassId, DomainId, EndpointId, EndpointIncarnation, IdempotencyKey, Incarnation, InstanceId, Json, Millis, ServiceId,
  StageUsage, Tokens, VersionId, WorkspaceId
} from '@papayahill/common'
import type { ServiceKind } from '@papayahill/settings'
import type { ListedEndpoint } from '@papayahill/stores'
import type { Result } from 'true-myth'

/**
 * - `starting`: listed, but no connection or no report yet; gets no work.
 * - `cold`: gets no more calls than its own reports allow.
 * - `warm`: gets calls up to its learned limit.
 * - `leaving`, `out`, `ejected`: gets no new work.
 */
export type LifecycleState = 'starting' | 'cold' | 'warm' | 'leaving' | 'out' | 'ejected'

/** Load that an endpoint reports about itself; arrives late and may be lost. */
export interface LoadReport {
  readonly endpoint: EndpointId
  readonly incarnation: EndpointIncarnation
  /** Increases with each report of one incarnation. */
  readonly sequence: number
  readonly running: number
  readonly queued: number
  /** Calls completed by this incarnation. */
  readonly completed: number
  /** Current maximum of concurrent calls; never decreases within an incarnation, so a stale report is a lower bound. */
  readonly bears: number
  /** Maximum of concurrent calls when warm. */
  readonly bearsWarm: number
  readonly isWarm: boolean
}

/** Reports that an engine cached or evicted a prompt prefix; events arrive late and may be lost. */
export interface CacheEvent {
  readonly endpoint: EndpointId
  readonly incarnation: EndpointIncarnation
  readonly sequence: number
  readonly kind: 'stored' | 'evicted' | 'cleared'
  readonly prefix: string
}

/** Position at which an interrupted stream resumes at another endpoint. */
export interface ResumePoint {
  /** Chunks already delivered to the caller; the next one has this index. */
  readonly chunks: number
  readonly text: string
}

/** One call of a stage to an endpoint. */
export interface StageCall {
  readonly id: CallId
  readonly service: ServiceId
  readonly kind: ServiceKind
  readonly class: ClassId
  readonly workspace: WorkspaceId
  readonly body: Json
  readonly key?: IdempotencyKey
  /** Lower is more urgent; sent to engines that support priorities. */
  readonly priority: number
  /** Time left until the deadline. */
  readonly timeout: Millis
  /** Hash of the prompt's longest shared prefix, for cache affinity. */
  readonly prefix?: string
  readonly isStreamed: boolean
  readonly resume?: ResumePoint
  /** Name of an exported KV cache that the endpoint may import instead of evaluating the prompt again. */
  readonly cacheImport?: string
}

/** One part of a streamed answer. */
export interface StageChunk {
  readonly call: CallId
  readonly index: number
  readonly text: string
  readonly tokens: Tokens
}

export interface StageAnswer {
  /** Id of the call, as echoed by the endpoint. */
  readonly call: CallId
  readonly body: Json
  readonly usage: StageUsage
}

export interface CallError {
  readonly outcome: Exclude<CallOutcome, 'done'>
  readonly detail: string
  readonly usage?: StageUsage
  /** Time after which the endpoint asked to be tried again. */
  readonly retryAfter?: Millis
  /** Whether nothing listens at the endpoint's address. */
  readonly isRefused?: boolean
  /** Name under which the engine exported its KV cache before it abandoned the call, if it did. */
  readonly cacheExport?: string
}

/** One connection to one incarnation of an endpoint; a restart closes it. */
export interface EndpointConnection {
  /** Confirmed on this connection after it was opened. */
  readonly incarnation: EndpointIncarnation
  readonly isOpen: boolean
  call (
    call: StageCall, onChunk: (chunk: StageChunk) => void, signal: AbortSignal
  ): Promise<Result<StageAnswer, CallError>>
  onClose (listener: () => void): void
  close (): void
}

/** Opens connections and receives reports: HTTP in production, fakes in tests. */
export interface EndpointAccess {
  open (endpoint: ListedEndpoint, kind: ServiceKind): Promise<Result<EndpointConnection, CallError>>
  /** Polls the endpoint's load report. */
  report (endpoint: ListedEndpoint): Promise<Result<LoadReport, CallError>>
  /** Reports and cache events that endpoints push. */
  onReport (listener: (report: LoadReport) => void): void
  onCacheEvent (listener: (event: CacheEvent) => void): void
  /** Status of an idempotency key, where the service supports the lookup. */
  lookUp (endpoint: ListedEndpoint, key: IdempotencyKey): Promise<Result<KeyStatus, CallError>>
}

export type KeyStatus =
  | { readonly kind: 'ran', readonly body: Json }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'running' }

/** Requirements of a stage for a lease. */
export interface LeaseRequest {
  readonly service: ServiceId
  /** Versions that may serve, most preferred first. */
  readonly versions: readonly VersionId[]
  readonly class: ClassId
  readonly workspace: WorkspaceId
  readonly prefix?: string
  /** Endpoints that already failed this request. */
  readonly exclude: ReadonlySet<EndpointId>
}

/** The right to run one call at one endpoint. Use it in the event loop iteration in which it was granted. */
export interface EndpointLease {
  readonly endpoint: EndpointId
  readonly incarnation: EndpointIncarnation
  readonly version: VersionId
  readonly domain: DomainId
  readonly connection: EndpointConnection
  /** Whether the lease is still valid in this event loop iteration, for a call that is sent after its lease was granted. */
  isUsable (): boolean
  /**
   * Releases the slot, with the outcome of the call and the time after which an endpoint that refused it asked to be
   * tried again. Only the first call has an effect.
   */
  release (outcome: CallOutcome, took: Millis, retryAfter?: Millis): void
}

/** Capacity of a service's endpoints as seen by this instance, for scheduling. */
export interface ServiceCapacity {
  /** Slots that this instance may use now, busy ones included. */
  readonly slots: number
  readonly busy: number
  /** Recent mean time of one call, in milliseconds; 0 before the first. */
  readonly meanCall: Millis
  /** Ratio of running and queued calls of all instances to the slots of the whole service, from reports. */
  readonly load: number
}

/** All endpoints as one instance sees and uses them. */
export interface EndpointPool {
  /** Takes a slot at once, without waiting; undefined if none is free for the request. */
  tryLease (request: LeaseRequest): EndpointLease | undefined
  capacity (service: ServiceId): ServiceCapacity
  /** Calls the listener when slots may have become free. */
  onFree (service: ServiceId, listener: () => void): void
  /** Each endpoint with its state, for operators. */
  snapshot (): readonly EndpointStatus[]
}

export interface EndpointStatus {
  readonly endpoint: ListedEndpoint
  readonly state: LifecycleState
  readonly incarnation: EndpointIncarnation | undefined
  readonly busy: number
  readonly limit: number
}

/** An incarnation of an instance in the roster. */
export interface RosterIncarnation {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  /** Roster version at which it joined. */
  readonly joinedAt: number
}

/** An incarnation that left the roster and is still recorded. */
export interface DepartedIncarnation extends RosterIncarnation {
  readonly departedAt: number
}

/** The roster record as this instance last read it. */
export interface RosterRecord {
  readonly version: number
  readonly members: readonly RosterIncarnation[]
  readonly departed: readonly DepartedIncarnation[]
}

/** This instance's copy of the roster, as used by the endpoint table. */
export interface RosterCopy {
  view (): RosterRecord
  /** Age of the copy by the local monotonic clock, from the start of the read that confirmed it; Infinity before the first. */
  age (): Millis
  /** Whether this incarnation of this instance is in the roster, as last read. */
  isMember (): boolean
  onChange (listener: () => void): void
}

/** One value that an instance published on the channel. */
export interface PeerChannelEntry {
  readonly key: string
  readonly owner: InstanceId
  readonly incarnation: Incarnation
  readonly value: Json
}

/** Channel between instances for messages about endpoints: one topic of the peer links, best effort. */
export interface PeerChannel {
  /** Sends a query to one instance; undefined if no answer arrives in time. */
  ask (to: InstanceId, message: Json, timeout: Millis): Promise<Json | undefined>
  /** Sets the single handler of other instances' queries. */
  handle (answer: (from: InstanceId, message: Json) => Json): void
  publish (key: string, value: Json): void
  onEntry (listener: (entry: PeerChannelEntry) => void): void
}

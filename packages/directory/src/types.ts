import type { Bytes, DomainId, EndpointId, EpochMillis, Json, Millis, RegionId, ServiceId, WorkspaceId } from '@papayahill/common'

/** Whether a request may be repeated: `safe` requests and resumable streams may; all others run at most once. */
export type RequestKind = 'safe' | 'unsafe' | 'streaming'

/** One stage of a route's graph. */
export interface StageNode {
  readonly index: number
  readonly service: ServiceId
  /** Indexes of the stages whose results are inputs of this one. */
  readonly after: readonly number[]
  /** Approximate size of one result. */
  readonly resultBytes: Bytes
}

export interface ServiceTarget {
  readonly service: ServiceId
  readonly weight: number
}

export interface ServingRoute {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly prefix: string
  readonly kind: RequestKind
  /** Longest time that a caller waits for its final answer. */
  readonly timeout: Millis
  /** Latency target: an answer within this time has its full value. */
  readonly target: Millis
  /** 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly ServiceTarget[]
  /** Number of endpoints that may be tried for one caller's request. */
  readonly maxAttempts: number
  readonly stages: readonly StageNode[]
  /** Served without an API key. */
  readonly isPublic: boolean
  /** Longest allowed gap between two events of a stream; undefined where the route sets none. */
  readonly longestGap?: Millis | undefined
  /** Whether a broken stream may resume at another endpoint. */
  readonly isResumable: boolean
  /** Regions that may serve it; empty allows all. */
  readonly regions: readonly RegionId[]
}

/** Batch processing parameters of one endpoint of a stage's service. */
export interface BatchProfile {
  readonly slots: number
  /** Calls that may be queued at the endpoint. */
  readonly queue: number
  /** Maximum number of pieces in one call. */
  readonly size: number
  /** Fixed time of a call, whatever it carries. */
  readonly callTime: Millis
  /** Additional time for each piece. */
  readonly pieceTime: Millis
  /** Memory for results that have not been freed yet. */
  readonly resultCapacity: Bytes
  /** Time after which a result that was not freed is dropped. */
  readonly resultTtl: Millis
}

export interface EngineProfile {
  readonly slots: number
  /** Tokens that running requests and cached prefixes share. */
  readonly cacheTokens: number
}

/** Limits of the number of endpoints that a service has in each failure domain. */
export interface ScalingProfile {
  readonly min: number
  readonly max: number
  /** Time from an order until a new endpoint serves. */
  readonly bootTime: Millis
}

export interface ServiceProfile {
  readonly id: ServiceId
  /** Connections that one endpoint accepts from all instances together. */
  readonly maxConnections: number
  /** Maximum requests per second of an endpoint while it is cold; 0 for no limit. */
  readonly coldPerSecond: number
  readonly batch?: BatchProfile
  readonly engine?: EngineProfile
  /** Set where the number of its endpoints is ordered by the instances. */
  readonly scaling?: ScalingProfile
}

export interface Workspace {
  readonly id: WorkspaceId
  /** Overrides the priority of the route where it is set. */
  readonly priority: number | undefined
  /** Regions that may serve it; empty allows all. */
  readonly regions: readonly RegionId[]
}

export interface ServingLimits {
  readonly headerBytes: Bytes
  readonly bodyBytes: Bytes
  readonly headerTimeout: Millis
  readonly idleTimeout: Millis
}

/** One version of the configuration that operators declare. */
export interface ServingConfig {
  readonly version: number
  readonly routes: readonly ServingRoute[]
  readonly services: ReadonlyMap<ServiceId, ServiceProfile>
  /** Workspaces by their API keys; undefined where requests carry no key. */
  readonly workspaces: ReadonlyMap<string, Workspace> | undefined
  readonly limits: ServingLimits
}

export interface EndpointAddress {
  readonly ip: string
  readonly port: number
}

/** An endpoint's entry in the platform's list. */
export interface EndpointRecord {
  readonly id: EndpointId
  readonly service: ServiceId
  readonly address: EndpointAddress
  readonly domain: DomainId
  /** Version of its software. */
  readonly version: string
  readonly slots: number
  readonly isDraining: boolean
  /** Time for which it stays cold, counted from when it reported so. */
  readonly coldFor: Millis
  /** Increases with each report of one incarnation. */
  readonly sequence: number
  /** Start time of the incarnation; distinguishes a restart under the same id. */
  readonly startedAt: EpochMillis | undefined
}

/** An operator's order to move a service's traffic to another version: a progressive rollout. */
export interface VersionOrder {
  readonly service: ServiceId
  readonly to: string
  readonly within: Millis
}

/** Why a read of a table failed. */
export type TableError =
  /** The requested history is no longer kept; the whole table must be read again. */
  | { readonly kind: 'history-gone', readonly detail: string }
  /** The store refused or did not answer. */
  | { readonly kind: 'unavailable', readonly detail: string }

/**
 * A point in the store's history. A store that is restored from an older copy begins a new era, in which the revisions
 * go back and are given out again: an era is compared before a revision.
 */
export interface StorePosition {
  /** 0 where the store names none. */
  readonly era: number
  readonly revision: number
}

/** How long what was known before a restore stays in force unless it is written again. */
export interface RowRetention {
  /** For rows that the restored table lacks or has in an older state. */
  readonly rowTime: Millis
  /** For removals of rows that are back in the restored table. */
  readonly removalTime: Millis
}

/** A row of the history before a restore that stays in force. */
export interface RetainedRow {
  readonly key: string
  /** Undefined where the row had been removed. */
  readonly value: Json | undefined
  /** The value, or the last one before the removal. */
  readonly last: Json
  /** Revision of the table as it came back; a newer revision of the row was written after the restore. */
  readonly after: number
  /** Monotonic time at which it is released. */
  readonly until: Millis
}

/** One row, or its removal. */
export interface TableRow<Value> {
  readonly key: string
  /** Undefined where the row was removed. */
  readonly value: Value | undefined
  readonly revision: number
}

/** Rows as of a position; the next poll continues from there. */
export interface TableRows<Value> extends StorePosition {
  readonly rows: ReadonlyArray<TableRow<Value>>
  /** The store's steady clock when it answered; undefined if it did not tell. */
  readonly storeTime?: Millis | undefined
}

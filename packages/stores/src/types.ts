import type { Brand, DomainId, EndpointId, InstanceId, Json, Millis, ServiceId, VersionId } from '@papayahill/common'
import type { Result } from 'true-myth'

/** Key of a row, for example `config/head`. */
export type RowKey = Brand<string, 'RowKey'>

/** A row; its version increases with each write. An absent row has version 0 and value null. */
export interface Row {
  readonly key: RowKey
  readonly version: number
  readonly value: Json
}

/** Holds if the row has this version; 0 means absent. */
export interface RowCondition {
  readonly key: RowKey
  readonly version: number
}

/** Sets a row, or deletes it if the value is null. */
export interface RowWrite {
  readonly key: RowKey
  readonly value: Json
}

/** Atomic: all writes are made if all conditions hold, otherwise none. */
export interface Transaction {
  readonly conditions: readonly RowCondition[]
  readonly writes: readonly RowWrite[]
}

/**
 * Why a request to the platform's store failed.
 * - `unavailable`: the request certainly had no effect.
 * - `unknown`: the response was lost; a write may have taken effect.
 * - `conflict`: a condition failed; nothing was written.
 */
export type StoreError =
  | { readonly kind: 'unavailable', readonly detail: string, readonly retryAfter?: Millis }
  | { readonly kind: 'unknown', readonly detail: string }
  | { readonly kind: 'conflict', readonly rows: readonly Row[] }

export interface Commit {
  /** The written rows with their new versions. */
  readonly rows: readonly Row[]
}

/** The platform's transactional table service. Reads are linearizable. */
export interface TableService {
  read (keys: readonly RowKey[]): Promise<Result<readonly Row[], StoreError>>
  /** Rows whose key starts with `prefix`, in key order, strictly after `after`. */
  scan (prefix: string, after: RowKey | undefined, limit: number): Promise<Result<readonly Row[], StoreError>>
  commit (transaction: Transaction): Promise<Result<Commit, StoreError>>
}

/** The platform's object store, for configuration snapshots and cost archives. */
export interface ObjectStore {
  get (name: string): Promise<Result<Json | undefined, StoreError>>
  put (name: string, value: Json): Promise<Result<void, StoreError>>
}

export type ListedState = 'live' | 'leaving'

export interface Address {
  readonly ip: string
  readonly port: number
}

/** An endpoint in the platform's list, which lags. */
export interface ListedEndpoint {
  readonly id: EndpointId
  readonly service: ServiceId
  readonly version: VersionId
  readonly domain: DomainId
  readonly address: Address
  readonly state: ListedState
}

/** An instance in the platform's list, which lags; `address` is its listener for peers. */
export interface ListedInstance {
  readonly id: InstanceId
  readonly domain: DomainId
  readonly address: Address
  readonly state: ListedState
}

export interface InstanceListing {
  readonly endpoints: readonly ListedEndpoint[]
  readonly instances: readonly ListedInstance[]
}

/** The platform's list of live and leaving instances. It lags and may be stale, wrong or empty. */
export interface InstanceList {
  list (): Promise<Result<InstanceListing, StoreError>>
}

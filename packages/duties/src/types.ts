import type { Brand, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import type { TableError } from '@papayahill/directory'
import type { Result } from 'true-myth'

/** Increases whenever the holder of the duties changes, and never goes back. */
export type FencingToken = Brand<number, 'FencingToken'>

/** A row of the duties' table. */
export interface DutyRow {
  readonly key: string
  /** Undefined where no row exists, null where it cannot be read. */
  readonly value: Json | undefined
  /** 0 where no row exists. */
  readonly revision: number
}

/** All rows of the table as of one moment. */
export interface DutyRows {
  /** How often the store was restored from an older copy; 0 where it does not say. */
  readonly era: number
  readonly rows: readonly DutyRow[]
}

/** Changes of rows that are made together, or not at all. */
export interface DutyCommit {
  /** Era in which the revisions were read. */
  readonly era: number
  /** Revisions that rows must have; 0 where the row must not exist. */
  readonly expected: ReadonlyArray<{ readonly key: string, readonly revision: number }>
  readonly writes: ReadonlyArray<{ readonly key: string, readonly value: Json }>
  readonly removals?: readonly string[]
}

export type DutyCommitted =
  /** Rows that were written have this revision. */
  | { readonly kind: 'committed', readonly revision: number }
  /** A condition failed; `rows` are those of `expected` as they are now. */
  | { readonly kind: 'conflict', readonly rows: readonly DutyRow[] }

/** The duties' table in the platform's table service. */
export interface DutyTable {
  read (): Promise<Result<DutyRows, TableError>>
  /** An error leaves open whether the changes were made, or will be while the conditions still hold. */
  commit (change: DutyCommit): Promise<Result<DutyCommitted, TableError>>
}

/**
 * Returns the token if the lease lasts long enough to send a call now; undefined if the call must not be sent. To be called
 * right before the first byte is written.
 */
export type Permit = () => FencingToken | undefined

/** What became of a call that only the holder of a duty may send. */
export type DutyCallResult =
  | { readonly kind: 'accepted' }
  /** The platform refused it and did nothing. */
  | { readonly kind: 'refused', readonly status: number }
  /** Too many calls; to be tried again after this time. */
  | { readonly kind: 'limited', readonly retryAfter: Millis }
  /** Nothing was sent: the permit was gone, or no connection could be opened. */
  | { readonly kind: 'unsent', readonly detail: string }
  /** It may have been carried out. */
  | { readonly kind: 'unknown', readonly detail: string }

/** Settings of the lease. */
export interface LeaseTerms {
  /** Time for which a holder may act after the start of its last successful write; setting `lease_ms`. */
  readonly leaseTime: Millis
}

export interface LeaseHolder {
  readonly id: InstanceId
  readonly incarnation: Incarnation
}

/** What an instance knows of the lease after a change. */
export interface LeaseChange {
  /** Undefined if no holder is known. */
  readonly holder: LeaseHolder | undefined
  /** Whether this instance holds the lease. */
  readonly isHeld: boolean
}

/** State of the lease at one instance, for operators. */
export interface LeaseStatus extends LeaseChange {
  /** Of the newest lease that this instance knows of; undefined if it knows of none. */
  readonly token: FencingToken | undefined
  readonly era: number | undefined
  readonly renewal: number | undefined
  /** Time left in which this instance may act. */
  readonly remaining: Millis
  /** Place of this instance among the candidates; 0 is the first. */
  readonly rank: number
  /** Counts since the start. */
  readonly takes: number
  readonly renewals: number
  readonly failures: number
  readonly storeCalls: number
}

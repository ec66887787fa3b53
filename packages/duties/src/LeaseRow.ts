import type { Clock, Millis, Timer } from '@papayahill/common'
import type { TableError } from '@papayahill/directory'
import { Result } from 'true-myth'
import { LEASE_KEY, STORE_TIMEOUT } from './constants.js'
import { absentLease, encodeLease, parseLease } from './leaseRecord.js'
import type { DatedLease, LeasePosition, LeaseRecord } from './leaseRecord.js'
import type { DutyTable } from './types.js'

/** The lease's row as it was read. */
export interface ReadLease extends DatedLease {
  readonly revision: number
  /** Whether there is a row without a lease that can be read. */
  readonly isUnreadable: boolean
}

export type WrittenLease = { readonly kind: 'written', readonly revision: number } | { readonly kind: 'conflict' }

/** Reads and conditionally writes the lease's row, and counts the calls. */
export class LeaseRow {
  readonly #table: DutyTable
  readonly #clock: Clock
  readonly #wait: Millis
  #calls = 0

  /** `wait` applies to a row that does not exist or cannot be read. */
  constructor (table: DutyTable, clock: Clock, wait: Millis) {
    this.#table = table
    this.#clock = clock
    this.#wait = wait
  }

  get calls (): number {
    return this.#calls
  }

  /** Reads again if the store says that its history is gone, since other instances would be told the same. */
  async read (): Promise<Result<ReadLease, TableError>> {
    const first = await this.#withTimeout(this.#table.read())
    const isHistoryGone = first.isErr && first.error.kind === 'history-gone'
    const result = isHistoryGone ? await this.#withTimeout(this.#table.read()) : first
    if (result.isErr) return Result.err(result.error)
    const { era, rows } = result.value
    const row = rows.find(({ key }) => key === LEASE_KEY)
    const record = parseLease(row?.value)
    const isUnreadable = record === undefined && row?.value !== undefined
    return Result.ok({ era, record: record ?? absentLease(this.#wait), revision: row?.revision ?? 0, isUnreadable })
  }

  /** An error leaves open whether the record was written, or will be. */
  async write (record: LeaseRecord, { era, revision }: LeasePosition): Promise<Result<WrittenLease, TableError>> {
    const expected = [{ key: LEASE_KEY, revision }]
    const writes = [{ key: LEASE_KEY, value: encodeLease(record) }]
    const result = await this.#withTimeout(this.#table.commit({ era, expected, writes }))
    if (result.isErr) return Result.err(result.error)
    return Result.ok(result.value.kind === 'committed' ? { kind: 'written', revision: result.value.revision } : { kind: 'conflict' })
  }

  async #withTimeout<Value> (call: Promise<Result<Value, TableError>>): Promise<Result<Value, TableError>> {
    this.#calls++
    let timer: Timer | undefined
    const late = new Promise<Result<Value, TableError>>((resolve) => {
      timer = this.#clock.after(STORE_TIMEOUT, () => resolve(Result.err({ kind: 'unavailable', detail: 'no answer in time' })))
    })
    const result = await Promise.race([call, late])
    timer?.cancel()
    return result
  }
}

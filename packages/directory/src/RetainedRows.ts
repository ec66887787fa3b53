import { hash32, millis } from '@papayahill/common'
import type { Clock, Json, Millis } from '@papayahill/common'
import { isDeepStrictEqual } from 'node:util'
import type { RetainedRow, RowRetention, TableRow } from './types.js'

/** Compares two values of a row: negative if the left one is older by what they say themselves, 0 if they do not tell. */
export type CompareValues = (key: string, left: Json, right: Json) => number

export interface RetainedRowsOptions {
  readonly clock: Clock
  readonly retention: RowRetention
  readonly compare: CompareValues
}

/** What an instance knew of a table before a restore, and the table as it came back. */
export interface Restore {
  readonly known: ReadonlyMap<string, Json>
  /** Last values of rows that had been removed. */
  readonly removed: ReadonlyMap<string, Json>
  readonly stored: ReadonlyMap<string, TableRow<Json>>
  readonly revision: number
}

/**
 * Rows and removals of the history before a restore of the store. They stay in force until their writer has written again,
 * for a bounded time.
 *
 * @example
 * retained.begin({ known, removed, stored, revision })
 * const inForce = retained.overlay(rows)
 */
export class RetainedRows {
  readonly #options: RetainedRowsOptions
  readonly #rows = new Map<string, RetainedRow>()

  constructor (options: RetainedRowsOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#rows.size
  }

  /** A hash over all retained rows; 0 if there are none. */
  get digest (): number {
    return [...this.#rows.values()].reduce((digest, { key, value }) => (digest ^ hash32(`${key} ${JSON.stringify(value)}`)) >>> 0, 0)
  }

  /** When the first retained row is due to be released. */
  get nextRelease (): Millis | undefined {
    const ends = [...this.#rows.values()].map(({ until }) => until)
    return ends.length === 0 ? undefined : millis(Math.min(...ends))
  }

  get (key: string): RetainedRow | undefined {
    return this.#rows.get(key)
  }

  list (): readonly RetainedRow[] {
    return [...this.#rows.values()]
  }

  /** Retains whatever the restored table lacks, has in an older state, or has although it was removed. */
  begin ({ known, removed, stored, revision }: Restore): void {
    const now = this.#options.clock.now()
    const { rowTime, removalTime } = this.#options.retention
    this.#rows.clear()
    for (const [key, value] of known) {
      if (this.#isConfirmed(key, value, stored.get(key)?.value)) continue
      this.#retain({ key, value, last: value, after: revision, until: millis(now + rowTime) })
    }
    for (const [key, last] of removed) {
      const value = known.has(key) ? undefined : stored.get(key)?.value
      if (value === undefined || this.#options.compare(key, value, last) > 0) continue
      this.#retain({ key, value: undefined, last, after: revision, until: millis(now + removalTime) })
    }
  }

  /** Takes over what another instance retains; returns the rows that it changes here. */
  adopt (rows: readonly RetainedRow[], stored: ReadonlyMap<string, TableRow<Json>>): ReadonlyArray<TableRow<Json>> {
    const now = this.#options.clock.now()
    const news = rows.filter(({ key, value, last, after, until }) => {
      const row = stored.get(key)
      const isWrittenAgain = row !== undefined && row.revision > after
      return until > now && !this.#rows.has(key) && !isWrittenAgain && !this.#isConfirmed(key, value ?? last, row?.value)
    })
    for (const row of news) this.#retain(row)
    return news.map(({ key, value, after }) => ({ key, value, revision: after }))
  }

  /** Whether a row of the table is in force: its writer has written it since the restore, or nothing of it is retained. */
  yieldsTo ({ key, value, revision }: TableRow<Json>): boolean {
    const retained = this.#rows.get(key)
    if (retained === undefined) return true
    if (revision <= retained.after) return false
    if (value !== undefined && this.#options.compare(key, value, retained.last) < 0) return false
    this.#rows.delete(key)
    return true
  }

  /** The rows of a whole table that are in force: those with nothing retained, and the retained ones. */
  overlay (rows: ReadonlyArray<TableRow<Json>>): ReadonlyArray<TableRow<Json>> {
    const written = rows.filter((row) => this.yieldsTo(row))
    const retained = this.list().filter(({ value }) => value !== undefined)
    return [...written, ...retained.map(({ key, value, after }) => ({ key, value, revision: after }))]
  }

  /** Releases the rows whose time is over; returns them. */
  release (): readonly RetainedRow[] {
    const now = this.#options.clock.now()
    const due = this.list().filter(({ until }) => until <= now)
    for (const { key } of due) this.#rows.delete(key)
    return due
  }

  #retain (row: RetainedRow): void {
    this.#rows.set(row.key, row)
  }

  #isConfirmed (key: string, known: Json, stored: Json | undefined): boolean {
    if (stored === undefined) return false
    return this.#options.compare(key, stored, known) > 0 || isDeepStrictEqual(stored, known)
  }
}

import { hash32 } from '@papayahill/common'
import type { Json } from '@papayahill/common'
import { RECENT_ROWS } from './constants.js'
import type { RetainedRow, StorePosition, TableRow } from './types.js'

/** Rows of a table as read from the store or relayed, not yet decoded. */
export interface TableChanges extends StorePosition {
  /** The rows are all changes after this revision; undefined if they are the whole table. */
  readonly after: number | undefined
  readonly rows: ReadonlyArray<TableRow<Json>>
  /** Digest of the table before the changes; a copy with the same digest misses no earlier change. */
  readonly base?: number | undefined
  /** With a whole table: what the sender retains of the history before a restore. */
  readonly retained?: readonly RetainedRow[]
}

/** Bits of a digest's upper half; both halves together stay below 2^53, an integer that JSON carries exactly. */
const UPPER_BITS = 21
const LOWER_RANGE = 2 ** 32

/** Result of applying changes. */
export type ApplyResult =
  | { readonly kind: 'replaced', readonly rows: ReadonlyArray<TableRow<Json>> }
  | { readonly kind: 'changed', readonly rows: ReadonlyArray<TableRow<Json>> }
  /** All changes were already known. */
  | { readonly kind: 'known' }
  /** The changes are of an earlier era: the store has been restored from an older copy since. */
  | { readonly kind: 'outdated' }
  /** Changes between the copy's position and these are missing. */
  | { readonly kind: 'gap' }

/**
 * One table as of a position in the store's history, with its newest changes. The position never decreases, in whatever
 * order changes arrive; in a new era the copy begins with the whole table.
 *
 * @example
 * const copy = new TableCopy()
 * copy.apply({ era: 1, after: undefined, revision: 7, rows }) // { kind: 'replaced', rows }
 */
export class TableCopy {
  readonly #rows = new Map<string, TableRow<Json>>()
  /** The newest change of each row, oldest first; complete after revision `#recentAfter`. */
  readonly #recent = new Map<string, TableRow<Json>>()
  #recentAfter = 0
  #position: StorePosition | undefined
  #lower = 0
  #upper = 0

  /** Position up to which all changes are applied; undefined before the first read. */
  get position (): StorePosition | undefined {
    return this.#position
  }

  /** Number of changes that are kept. */
  get recentCount (): number {
    return this.#recent.size
  }

  get rows (): ReadonlyMap<string, TableRow<Json>> {
    return this.#rows
  }

  /** A hash over all rows and their revisions: copies of one era with equal digests hold the same rows. */
  get digest (): number {
    return this.#upper * LOWER_RANGE + this.#lower
  }

  apply (changes: TableChanges): ApplyResult {
    const { era, after, revision, rows, base } = changes
    const known = this.#position
    if (known !== undefined && era < known.era) return { kind: 'outdated' }
    if (after === undefined) return this.#replace(rows, { era, revision })
    if (known === undefined || era > known.era) return { kind: 'gap' }
    if (after > known.revision && base !== this.digest) return { kind: 'gap' }
    const newRows = rows.filter((row) => row.revision > known.revision)
    this.#position = { era, revision: Math.max(known.revision, revision) }
    if (newRows.length === 0) return { kind: 'known' }
    for (const row of newRows) {
      this.#put(row)
      this.#noteRecent(row)
    }
    this.#trimRecent()
    return { kind: 'changed', rows: newRows }
  }

  /** Compares with another copy; an equal digest advances this copy to the revision of the other. */
  compare ({ era, revision, digest }: StorePosition & { readonly digest: number }): 'equal' | 'behind' | 'ahead' {
    const known = this.#position
    if (known === undefined || era > known.era) return 'behind'
    if (era < known.era) return 'ahead'
    if (digest !== this.digest) return revision > known.revision ? 'behind' : 'ahead'
    this.#position = { era, revision: Math.max(known.revision, revision) }
    return 'equal'
  }

  /** The newest change of each row after a position; the whole table if it is of another era or older than the kept changes. */
  since (after: StorePosition | undefined): TableChanges | undefined {
    const known = this.#position
    if (known === undefined) return undefined
    if (after === undefined || after.era !== known.era || after.revision < this.#recentAfter) {
      return { ...known, after: undefined, rows: [...this.#rows.values()] }
    }
    const rows = [...this.#recent.values()].filter((row) => row.revision > after.revision)
    return { ...known, after: after.revision, rows }
  }

  #replace (rows: ReadonlyArray<TableRow<Json>>, position: StorePosition): ApplyResult {
    const known = this.#position
    if (known !== undefined && position.era === known.era && position.revision <= known.revision) return { kind: 'known' }
    this.#rows.clear()
    this.#lower = 0
    this.#upper = 0
    this.#position = position
    this.#recent.clear()
    this.#recentAfter = position.revision
    for (const row of rows) this.#put(row)
    return { kind: 'replaced', rows }
  }

  #put (row: TableRow<Json>): void {
    const known = this.#rows.get(row.key)
    if (known !== undefined) this.#toggleInDigest(known)
    if (row.value === undefined) {
      this.#rows.delete(row.key)
      return
    }
    this.#rows.set(row.key, row)
    this.#toggleInDigest(row)
  }

  /** Adds a row to the digest, or removes it: XOR is its own inverse. */
  #toggleInDigest ({ key, revision }: TableRow<Json>): void {
    const name = `${revision} ${key}`
    this.#lower = (this.#lower ^ hash32(name)) >>> 0
    this.#upper = (this.#upper ^ hash32(name, 1) >>> (32 - UPPER_BITS)) >>> 0
  }

  /** Replaces the row's earlier change, which nobody needs any more: a large row may change often. */
  #noteRecent (row: TableRow<Json>): void {
    this.#recent.delete(row.key)
    this.#recent.set(row.key, row)
  }

  #trimRecent (): void {
    for (const [key, { revision }] of this.#recent) {
      if (this.#recent.size <= RECENT_ROWS) return
      this.#recentAfter = Math.max(this.#recentAfter, revision)
      this.#recent.delete(key)
    }
  }
}

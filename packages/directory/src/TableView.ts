import type { Json, Millis } from '@papayahill/common'
import { LRUCache } from 'lru-cache'
import { MAX_REMOVED_CHARACTERS, MAX_REMOVED_ROWS } from './constants.js'
import { RetainedRows } from './RetainedRows.js'
import type { RetainedRowsOptions } from './RetainedRows.js'
import { TableCopy } from './TableCopy.js'
import type { ApplyResult, TableChanges } from './TableCopy.js'
import type { StorePosition, TableRow } from './types.js'

const NONE_REMOVED: ReadonlyMap<string, Json> = new Map()

/** A table's position, with hashes over its rows and over those that are retained after a restore. */
export interface TableSummary extends StorePosition {
  readonly digest: number
  /** 0 if nothing is retained. */
  readonly retained: number
}

/**
 * The rows of a table that are in force on this instance: the copy of the store's table and, after the store was restored
 * from an older copy, what the instance knew of the history before.
 *
 * @example
 * const view = new TableView({ clock, retention, compare })
 * const result = view.apply(changes)
 */
export class TableView {
  readonly #copy = new TableCopy()
  readonly #retained: RetainedRows
  /** Last values of removed rows. */
  readonly #removed = new LRUCache<string, { readonly value: Json }>({
    max: MAX_REMOVED_ROWS, maxSize: MAX_REMOVED_CHARACTERS, sizeCalculation: ({ value }, key) => key.length + JSON.stringify(value).length
  })

  /** Whether this instance knew the table before the last restore; if not, it asks the others what they retain. */
  #knewEarlierEra = false
  /** Digests of other instances' retained rows that have been asked for. */
  readonly #askedFor = new Set<number>()

  constructor (options: RetainedRowsOptions) {
    this.#retained = new RetainedRows(options)
  }

  /** Position of the copy; undefined before the first read. */
  get position (): StorePosition | undefined {
    return this.#copy.position
  }

  get digest (): number {
    return this.#copy.digest
  }

  get summary (): TableSummary | undefined {
    const { position } = this.#copy
    return position === undefined ? undefined : { ...position, digest: this.#copy.digest, retained: this.#retained.digest }
  }

  /** Number of rows and removals that are retained after a restore. */
  get retainedCount (): number {
    return this.#retained.size
  }

  /** Number of rows that are kept: those of the copy, its newest changes, and the last values of removed rows. */
  get keptCount (): number {
    return this.#copy.rows.size + this.#copy.recentCount + this.#removed.size
  }

  /** When the first retained row is due to be released. */
  get nextRelease (): Millis | undefined {
    return this.#retained.nextRelease
  }

  /** Applies changes to the copy; the rows of the result are those that come into force by them. */
  apply (changes: TableChanges): ApplyResult {
    const known = this.#copy.position
    const isRestore = known !== undefined && changes.era > known.era && changes.after === undefined
    const inForce = isRestore ? this.#valuesInForce() : undefined
    const removed = isRestore ? NONE_REMOVED : this.#lastValues(changes)
    const result = this.#copy.apply(changes)
    if (result.kind !== 'changed' && result.kind !== 'replaced') return result
    if (inForce !== undefined) this.#beginEra(inForce)
    for (const [key, value] of removed) this.#removed.set(key, { value })
    const rows = result.kind === 'replaced' ? this.#retained.overlay(result.rows) : result.rows.filter((row) => this.#retained.yieldsTo(row))
    return { kind: result.kind, rows }
  }

  /** Takes over what another instance retains of an era that this one did not know; returns the rows that come into force. */
  adopt ({ era, retained }: TableChanges): ReadonlyArray<TableRow<Json>> {
    if (this.#knewEarlierEra || retained === undefined || era !== this.#copy.position?.era) return []
    return this.#retained.adopt(retained, this.#copy.rows)
  }

  /** Compares with another instance's copy; an equal digest advances this copy to the revision of the other. */
  compare (other: TableSummary): 'equal' | 'behind' | 'ahead' {
    return this.#copy.compare(other)
  }

  /** Whether another instance retains rows that this one should ask for; true once for each digest. */
  shouldAskFor (retained: number): boolean {
    if (retained === 0 || this.#knewEarlierEra || retained === this.#retained.digest || this.#askedFor.has(retained)) return false
    this.#askedFor.add(retained)
    return true
  }

  /** The changes after a position; a whole table comes with what is retained. */
  since (after: StorePosition | undefined): TableChanges | undefined {
    const changes = this.#copy.since(after)
    if (changes === undefined || changes.after !== undefined || this.#retained.size === 0) return changes
    return { ...changes, retained: this.#retained.list() }
  }

  /** Releases retained rows whose time is over; returns the rows of the store that come into force instead. */
  release (): ReadonlyArray<TableRow<Json>> {
    const revision = this.#copy.position?.revision ?? 0
    return this.#retained.release().map(({ key, last }) => {
      const stored = this.#copy.rows.get(key)
      if (stored === undefined) this.#removed.set(key, { value: last })
      return stored ?? { key, value: undefined, revision }
    })
  }

  #beginEra (known: ReadonlyMap<string, Json>): void {
    this.#knewEarlierEra = true
    this.#askedFor.clear()
    const removed = new Map([...this.#removed.entries()].map(([key, { value }]) => [key, value]))
    this.#retained.begin({ known, removed, stored: this.#copy.rows, revision: this.#copy.position?.revision ?? 0 })
  }

  #valuesInForce (): ReadonlyMap<string, Json> {
    const values = new Map<string, Json>()
    for (const [key, { value }] of this.#copy.rows) if (value !== undefined) values.set(key, value)
    for (const { key, value } of this.#retained.list()) {
      if (value === undefined) values.delete(key)
      else values.set(key, value)
    }
    return values
  }

  /** Values, before the changes, of the rows that they remove. */
  #lastValues ({ after, rows }: TableChanges): ReadonlyMap<string, Json> {
    const values = new Map<string, Json>()
    const listed = new Set(rows.map(({ key }) => key))
    const gone = after === undefined
      ? [...this.#copy.rows.keys()].filter((key) => !listed.has(key))
      : rows.filter(({ value }) => value === undefined).map(({ key }) => key)
    for (const key of gone) {
      const last = this.#retained.get(key)?.last ?? this.#copy.rows.get(key)?.value
      if (last !== undefined) values.set(key, last)
    }
    return values
  }
}

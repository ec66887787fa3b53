import { millis } from '@papayahill/common'
import type { Clock, EventLog, Json, Millis, Timer } from '@papayahill/common'
import { LAPSE_GRACE, REMOVAL_RETENTION } from './constants.js'
import { DIRECTORY_EVENTS } from './events.js'
import type { ApplyResult, TableChanges } from './TableCopy.js'
import { TableView } from './TableView.js'
import type { RowRetention, TableRow } from './types.js'

export interface TableListener<Value> {
  /** All rows as of one revision; rows not among them were removed. */
  replaced (rows: ReadonlyArray<TableRow<Value>>, outage: Millis): void
  changed (rows: ReadonlyArray<TableRow<Value>>, outage: Millis): void
  /** Compares two values of one row: negative if the left one is older by what they say themselves, 0 if they do not tell. */
  compare? (left: Value, right: Value): number
}

export interface WatchedRowsOptions<Value> {
  readonly clock: Clock
  readonly log: EventLog
  readonly name: string
  readonly decode: (key: string, value: Json) => Value
  readonly listener: TableListener<Value>
  readonly retention: RowRetention | undefined
}

const NO_OUTAGE = millis(0)
const DEFAULT_RETENTION: RowRetention = { rowTime: LAPSE_GRACE, removalTime: REMOVAL_RETENTION }
/** Keys that are named when rows are released. */
const MAX_LOGGED_KEYS = 5

/**
 * The decoded rows of a watched table: hands to the listener what comes into force by changes, by what other instances retain
 * of the history before a restore, and when that time is over.
 *
 * @example
 * const rows = new WatchedRows({ clock, log, name, decode, listener, retention: undefined })
 * rows.apply(changes, outage)
 */
export class WatchedRows<Value> {
  readonly #options: WatchedRowsOptions<Value>
  readonly view: TableView
  #releaseTimer: Timer | undefined

  constructor (options: WatchedRowsOptions<Value>) {
    const { clock, retention = DEFAULT_RETENTION } = options
    this.#options = options
    this.view = new TableView({ clock, retention, compare: (key, left, right) => this.#compare(key, left, right) })
  }

  /** Applies changes; rows that come into force go to the listener. */
  apply (changes: TableChanges, outage: Millis): ApplyResult {
    const known = this.view.position
    const result = this.view.apply(changes)
    if (result.kind !== 'changed' && result.kind !== 'replaced') return result
    if (known !== undefined && changes.era > known.era) this.#noteRetained()
    this.#deliver(result, outage)
    return result
  }

  /** Takes over what another instance retains of an era that this one did not know. */
  adopt (changes: TableChanges): void {
    const rows = this.view.adopt(changes)
    if (rows.length === 0) return
    this.#noteRetained()
    this.#deliver({ kind: 'changed', rows }, NO_OUTAGE)
  }

  stop (): void {
    this.#releaseTimer?.cancel()
  }

  #deliver ({ kind, rows }: Extract<ApplyResult, { readonly rows: unknown }>, outage: Millis): void {
    const { listener } = this.#options
    const decoded = rows.map((row) => this.#decoded(row))
    if (kind === 'replaced') listener.replaced(decoded, outage)
    else if (decoded.length > 0) listener.changed(decoded, outage)
  }

  /** Logs what is retained after a restore, and releases it in time. */
  #noteRetained (): void {
    const { log, name } = this.#options
    const { position, retainedCount } = this.view
    if (retainedCount > 0) log.emit(DIRECTORY_EVENTS.rowsRetained, { table: name, era: position?.era, rows: retainedCount })
    this.#scheduleRelease()
  }

  #scheduleRelease (): void {
    const { clock } = this.#options
    const { nextRelease } = this.view
    this.#releaseTimer?.cancel()
    if (nextRelease === undefined) return
    this.#releaseTimer = clock.after(millis(Math.max(1, nextRelease - clock.now())), () => this.#release())
  }

  /** Puts the restored table in force for rows that were not written again in time. */
  #release (): void {
    const { log, name } = this.#options
    const rows = this.view.release()
    if (rows.length > 0) {
      const keys = rows.slice(0, MAX_LOGGED_KEYS).map(({ key }) => key).join(' ')
      log.emit(DIRECTORY_EVENTS.rowsReleased, { table: name, rows: rows.length, keys })
      this.#deliver({ kind: 'changed', rows }, NO_OUTAGE)
    }
    this.#scheduleRelease()
  }

  #compare (key: string, left: Json, right: Json): number {
    const { decode, listener } = this.#options
    return listener.compare?.(decode(key, left), decode(key, right)) ?? 0
  }

  #decoded ({ key, value, revision }: TableRow<Json>): TableRow<Value> {
    return { key, revision, value: value === undefined ? undefined : this.#options.decode(key, value) }
  }
}

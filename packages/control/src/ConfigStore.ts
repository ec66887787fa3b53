import { brand } from '@papayahill/common'
import type { EventLog } from '@papayahill/common'
import type { ObjectStore, Row, RowKey, RowWrite, StoreError, TableService } from '@papayahill/stores'
import { Result } from 'true-myth'
import { MAX_ROWS_PER_CALL, SNAPSHOT_INTERVAL } from './constants.js'
import { CONTROL_EVENTS } from './events.js'
import { decodeHead, decodeLogged, decodeState, encodeHead, encodeLogged, encodeState } from './logRecords.js'
import type { ConfigHead, ConfigState, LoggedChange, WriteId } from './logRecords.js'

const HEAD_KEY = brand<RowKey>('config/head')
const VERSION_DIGITS = 9
/** Change rows to keep before the newest snapshot. */
const KEPT_BEHIND_SNAPSHOT = 4 * SNAPSHOT_INTERVAL
/** Old change rows that one accepted change deletes. */
const PRUNED_PER_CHANGE = 4

const changeKey = (version: number): RowKey => brand<RowKey>(`config/change/${String(version).padStart(VERSION_DIGITS, '0')}`)
/** Key of the marker row of a write. A restored store lacks the marker even if its row versions match. */
const writeKey = (writeId: WriteId): RowKey => brand<RowKey>(`config/write/${writeId}`)
const snapshotName = (version: number): string => `config/snapshot/${version}`

/** The head with the version of its row, which the next write uses as its condition. */
export interface StoredHead extends ConfigHead {
  readonly rowVersion: number
}

const decodeHeadRow = (row: Row | undefined): StoredHead => ({ ...decodeHead(row?.value ?? null), rowVersion: row?.version ?? 0 })

/** Reads and writes the configuration log in the platform's store. */
export class ConfigStore {
  readonly #table: TableService
  readonly #objects: ObjectStore
  readonly #log: EventLog
  #snapshotVersion = 0

  constructor (table: TableService, objects: ObjectStore, log: EventLog) {
    this.#table = table
    this.#objects = objects
    this.#log = log
  }

  async readHead (): Promise<Result<StoredHead, StoreError>> {
    const read = await this.#table.read([HEAD_KEY])
    return read.map((rows) => {
      const head = decodeHeadRow(rows[0])
      this.#snapshotVersion = Math.max(this.#snapshotVersion, head.snapshot)
      return head
    })
  }

  /** The stored changes from version `first` to `last`, at most {@link MAX_ROWS_PER_CALL}. */
  async readChanges (first: number, last: number): Promise<Result<readonly LoggedChange[], StoreError>> {
    const count = Math.min(last - first + 1, MAX_ROWS_PER_CALL)
    const read = await this.#table.read(Array.from({ length: count }, (_, index) => changeKey(first + index)))
    return read.map((rows) => rows.map((row) => decodeLogged(row.value)).filter((change) => change !== undefined))
  }

  async readSnapshot (version: number): Promise<ConfigState | undefined> {
    if (version === 0) return undefined
    const got = await this.#objects.get(snapshotName(version))
    return got.isOk ? decodeState(got.value) : undefined
  }

  /** Appends changes after the head, provided that the head row and the marker of its write are unchanged. */
  async append (head: StoredHead, added: readonly LoggedChange[]): Promise<Result<void, StoreError>> {
    const newest = added.at(-1)!
    const prunable = Math.min(head.pruned + PRUNED_PER_CHANGE, Math.max(head.pruned, head.snapshot - KEPT_BEHIND_SNAPSHOT))
    const next: ConfigHead = {
      version: newest.version,
      author: newest.author,
      writeId: newest.writeId,
      snapshot: Math.max(head.snapshot, this.#snapshotVersion <= newest.version ? this.#snapshotVersion : 0),
      pruned: prunable
    }
    const written = await this.#table.commit({
      conditions: [
        { key: HEAD_KEY, version: head.rowVersion },
        ...head.writeId === '' ? [] : [{ key: writeKey(head.writeId), version: 1 }],
        ...added.map((change) => ({ key: writeKey(change.writeId), version: 0 })),
        ...added.map((change) => ({ key: changeKey(change.version), version: 0 }))
      ],
      writes: [
        { key: HEAD_KEY, value: encodeHead(next) },
        ...added.map((change): RowWrite => ({ key: changeKey(change.version), value: encodeLogged(change) })),
        ...added.map((change): RowWrite => ({ key: writeKey(change.writeId), value: change.version })),
        ...await this.#deletions(head.pruned + 1, prunable)
      ]
    })
    return written.map(() => undefined)
  }

  /** Writes a snapshot every {@link SNAPSHOT_INTERVAL} versions; the next accepted change references it in the head. */
  async snapshotIfDue (state: ConfigState): Promise<void> {
    if (state.version - this.#snapshotVersion < SNAPSHOT_INTERVAL) return
    const put = await this.#objects.put(snapshotName(state.version), encodeState(state))
    if (put.isOk) this.#snapshotVersion = Math.max(this.#snapshotVersion, state.version)
    else this.#log.emit(CONTROL_EVENTS.snapshotFailed, { version: state.version, detail: put.error.kind })
  }

  /** Deletions of old changes and their markers; none if the changes cannot be read. */
  async #deletions (first: number, last: number): Promise<readonly RowWrite[]> {
    if (last < first) return []
    const old = await this.readChanges(first, last)
    return old.unwrapOr([]).flatMap((change): readonly RowWrite[] =>
      [{ key: changeKey(change.version), value: null }, { key: writeKey(change.writeId), value: null }])
  }
}

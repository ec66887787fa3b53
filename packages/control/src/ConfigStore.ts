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
/** Change rows that are kept behind the newest snapshot. */
const KEPT_BEHIND_SNAPSHOT = 4 * SNAPSHOT_INTERVAL
/** Old change rows that one accepted change deletes. */
const PRUNED_PER_CHANGE = 4

const changeKey = (version: number): RowKey => brand<RowKey>(`config/change/${String(version).padStart(VERSION_DIGITS, '0')}`)
/** Stands in the store as long as the write of this id does; a restored store lacks it, whatever its row versions say. */
const writeKey = (writeId: WriteId): RowKey => brand<RowKey>(`config/write/${writeId}`)
const snapshotName = (version: number): string => `config/snapshot/${version}`

/** The head with the version of its row, on which the next write is conditional. */
export interface ReadHead extends ConfigHead {
  readonly rowVersion: number
}

const readHeadRow = (row: Row | undefined): ReadHead => ({ ...decodeHead(row?.value ?? null), rowVersion: row?.version ?? 0 })

/** The configuration log in the platform's store. */
export class ConfigStore {
  readonly #table: TableService
  readonly #objects: ObjectStore
  readonly #log: EventLog
  #snapshot = 0

  constructor (table: TableService, objects: ObjectStore, log: EventLog) {
    this.#table = table
    this.#objects = objects
    this.#log = log
  }

  async readHead (): Promise<Result<ReadHead, StoreError>> {
    const read = await this.#table.read([HEAD_KEY])
    return read.map((rows) => {
      const head = readHeadRow(rows[0])
      this.#snapshot = Math.max(this.#snapshot, head.snapshot)
      return head
    })
  }

  /** The changes of the versions from `first` to `last`, as far as they are there; a bounded number of them. */
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

  /** Puts changes after the head, on condition that nobody else did and that the head is still the write it was read as. */
  async append (head: ReadHead, added: readonly LoggedChange[]): Promise<Result<void, StoreError>> {
    const newest = added.at(-1)!
    const prunable = Math.min(head.pruned + PRUNED_PER_CHANGE, Math.max(head.pruned, head.snapshot - KEPT_BEHIND_SNAPSHOT))
    const next: ConfigHead = {
      version: newest.version,
      author: newest.author,
      writeId: newest.writeId,
      snapshot: Math.max(head.snapshot, this.#snapshot <= newest.version ? this.#snapshot : 0),
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

  /** Writes a snapshot where one is due; the next accepted change names it in the head. */
  async snapshot (state: ConfigState): Promise<void> {
    if (state.version - this.#snapshot < SNAPSHOT_INTERVAL) return
    const put = await this.#objects.put(snapshotName(state.version), encodeState(state))
    if (put.isOk) this.#snapshot = Math.max(this.#snapshot, state.version)
    else this.#log.emit(CONTROL_EVENTS.snapshotFailed, { version: state.version, detail: put.error.kind })
  }

  /** Deletes old changes with their marks; none where they cannot be read now. */
  async #deletions (first: number, last: number): Promise<readonly RowWrite[]> {
    if (last < first) return []
    const old = await this.readChanges(first, last)
    return old.unwrapOr([]).flatMap((change): readonly RowWrite[] =>
      [{ key: changeKey(change.version), value: null }, { key: writeKey(change.writeId), value: null }])
  }
}

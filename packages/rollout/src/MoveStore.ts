import type { ServiceId } from '@papayahill/common'
import type { TableService } from '@papayahill/stores'
import { moveRowKey, parseMoveRecord } from './moveRow.js'
import type { MoveRecord, RecordedMove } from './moveRow.js'

/**
 * Outcome of a conditional write.
 * - `lost`: another write came first; `row` is the current row.
 * - `unknown`: the answer was lost; the row has to be read again.
 */
export type WriteOutcome =
  | { readonly kind: 'written', readonly row: RecordedMove }
  | { readonly kind: 'lost', readonly row: RecordedMove }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'unavailable' }

/**
 * Stores the state of moves in the table service, one row per service.
 *
 * @example
 * const store = new MoveStore(table)
 * await store.write(service, record, 3) // succeeds only if the row still has version 3
 */
export class MoveStore {
  readonly #table: TableService

  constructor (table: TableService) {
    this.#table = table
  }

  async read (service: ServiceId): Promise<RecordedMove | undefined> {
    const result = await this.#table.read([moveRowKey(service)])
    const row = result.isOk ? result.value[0] : undefined
    return row === undefined ? undefined : { version: row.version, record: parseMoveRecord(row.value) }
  }

  async write (service: ServiceId, record: MoveRecord, version: number): Promise<WriteOutcome> {
    const key = moveRowKey(service)
    const result = await this.#table.commit({ conditions: [{ key, version }], writes: [{ key, value: record }] })
    if (result.isOk) return { kind: 'written', row: { version: result.value.rows[0]?.version ?? version + 1, record } }
    if (result.error.kind !== 'conflict') return { kind: result.error.kind }
    const row = result.error.rows[0]
    return { kind: 'lost', row: { version: row?.version ?? 0, record: parseMoveRecord(row?.value ?? null) } }
  }
}

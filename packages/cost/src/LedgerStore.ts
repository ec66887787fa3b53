import { brand } from '@papayahill/common'
import type { Json } from '@papayahill/common'
import type { RowKey, TableService } from '@papayahill/stores'
import { SCAN_LIMIT } from './constants.js'
import { LineSet } from './LineSet.js'

const PREFIX = 'cost/ledger/'
const MAX_ATTEMPTS = 4

/** Key of a chunk's row: its day, the incarnation that metered it and its index. */
export const ledgerRowKey = (day: string, incarnation: string, chunk: number): RowKey =>
  brand<RowKey>(`${PREFIX}${day}/${incarnation}/${chunk}`)

/** The day whose lines a row holds. */
export const dayOfRow = (key: RowKey): string => key.slice(PREFIX.length).split('/', 1)[0] ?? ''

const dayPrefix = (day: string): string => `${PREFIX}${day}/`

/** One day's rows by key. */
export type DayLines = Map<RowKey, LineSet>

/**
 * The recorded ledger in the table service. A write merges the given lines into a row. It is idempotent: repeated
 * after a lost answer, or made by several instances, it counts everything once.
 *
 * @example
 * const store = new LedgerStore(table)
 * await store.merge(ledgerRowKey(day, incarnation, 0), lines, 0)
 */
export class LedgerStore {
  readonly #table: TableService

  constructor (table: TableService) {
    this.#table = table
  }

  /** Merges lines into a row and returns its new version, or undefined if the row could not be written. */
  async merge (key: RowKey, lines: LineSet, version: number): Promise<number | undefined> {
    let base = version
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const value = lines.pack() as Json
      const result = await this.#table.commit({ conditions: [{ key, version: base }], writes: [{ key, value }] })
      if (result.isOk) return result.value.rows[0]?.version ?? base + 1
      if (result.error.kind !== 'conflict') return undefined
      const row = result.error.rows[0]
      const recorded = LineSet.parse(row?.value)
      base = row?.version ?? 0
      if (recorded.covers(lines)) return base
      lines.merge(recorded)
    }
    return undefined
  }

  /** All rows of a day; undefined if the store did not answer. */
  async readDay (day: string): Promise<DayLines | undefined> {
    const found: DayLines = new Map()
    let after: RowKey | undefined
    for (;;) {
      const result = await this.#table.scan(dayPrefix(day), after, SCAN_LIMIT)
      if (result.isErr) return undefined
      for (const row of result.value) found.set(row.key, LineSet.parse(row.value))
      if (result.value.length < SCAN_LIMIT) return found
      after = result.value[result.value.length - 1]!.key
    }
  }
}

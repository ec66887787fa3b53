import { brand } from '@papayahill/common'
import type { Incarnation } from '@papayahill/common'
import type { RowKey } from '@papayahill/stores'
import { readLine } from './holdFrame.js'
import type { HoldEntry, HoldFrame, HoldRow } from './holdFrame.js'
import type { PackedLine } from './LedgerLine.js'
import type { HeldRow } from './LedgerHolders.js'

/**
 * The holder's side of one owner's session. What it can't read whole it doesn't read at all.
 *
 * @example
 * reader.read(frame) ?? 'send all of it again'
 */
export class HoldReader {
  #session = -1
  #entries: readonly HoldEntry[] = []

  /** The lines of a frame; undefined where it refers to what is not known here. */
  read ([session, from, added, hour, rows]: HoldFrame): { readonly life: Incarnation, readonly rows: readonly HeldRow[] } | undefined {
    const isKnown = from === 0 || (session === this.#session && from <= this.#entries.length)
    if (!isKnown) return undefined
    this.#session = session
    this.#entries = [...this.#entries.slice(0, from), ...added]
    const life = this.#entries[0]
    const read = rows.map((row) => this.#readRow(row, hour))
    if (typeof life !== 'string' || read.includes(undefined)) return undefined
    return { life: brand<Incarnation>(life), rows: read as HeldRow[] }
  }

  #readRow ([rowIndex, lines]: HoldRow, hour: number): HeldRow | undefined {
    const row = this.#entries[rowIndex]
    const read = lines.map((line) => readLine(line, this.#entries[line[0]], this.#entries[line[1]], hour))
    if (typeof row !== 'string' || read.includes(undefined)) return undefined
    return { row: brand<RowKey>(row), lines: read as PackedLine[] }
  }
}

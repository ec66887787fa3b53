import { brand } from '@papayahill/common'
import type { Incarnation } from '@papayahill/common'
import type { RowKey } from '@papayahill/stores'
import { decodeLine } from './backupFrame.js'
import type { BackupEntry, BackupFrame, BackupFrameRow, BackupRow } from './backupFrame.js'
import type { PackedLine } from './LedgerLine.js'

/**
 * Decodes the frames of one sender's backup session. A frame that cannot be decoded completely is rejected.
 *
 * @example
 * const decoded = decoder.decode(frame) // undefined: the sender must start a new session
 */
export class BackupDecoder {
  #session = -1
  #entries: readonly BackupEntry[] = []

  /** The lines of a frame; undefined if it is invalid or refers to entries that are missing here. */
  decode (
    [session, from, added, hour, rows]: BackupFrame
  ): { readonly incarnation: Incarnation, readonly rows: readonly BackupRow[] } | undefined {
    const isKnown = from === 0 || (session === this.#session && from <= this.#entries.length)
    if (!isKnown) return undefined
    this.#session = session
    this.#entries = [...this.#entries.slice(0, from), ...added]
    const incarnation = this.#entries[0]
    const decoded = rows.map((row) => this.#decodeRow(row, hour))
    if (typeof incarnation !== 'string' || decoded.includes(undefined)) return undefined
    return { incarnation: brand<Incarnation>(incarnation), rows: decoded as BackupRow[] }
  }

  #decodeRow ([rowIndex, lines]: BackupFrameRow, hour: number): BackupRow | undefined {
    const row = this.#entries[rowIndex]
    const decoded = lines.map((line) => decodeLine(line, this.#entries[line[0]], this.#entries[line[1]], hour))
    if (typeof row !== 'string' || decoded.includes(undefined)) return undefined
    return { row: brand<RowKey>(row), lines: decoded as PackedLine[] }
  }
}

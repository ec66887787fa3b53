import { hash32 } from '@papayahill/common'
import type { Incarnation } from '@papayahill/common'
import { encodeLine, newestHour } from './backupFrame.js'
import type { BackupEntry, BackupFrame, BackupFrameRow, BackupRow } from './backupFrame.js'
import { MAX_SESSION_ENTRIES } from './constants.js'

/** Session numbers take two bytes. */
const SESSION_COUNT = 65_536

/**
 * Encodes the frames of one session with one backup peer. Names are sent in full until the peer has confirmed
 * them, and as indexes of the session's entries after that.
 *
 * @example
 * const encoder = new BackupEncoder(incarnation, 1)
 * const { frame, size } = encoder.encode(rows)
 * encoder.confirm(size)
 */
export class BackupEncoder {
  readonly #session: number
  readonly #entries: BackupEntry[] = []
  readonly #indexes = new Map<string, number>()
  #confirmed = 0

  constructor (incarnation: Incarnation, sequence: number) {
    this.#session = hash32(`${incarnation} ${sequence}`) % SESSION_COUNT
    this.#indexOf(incarnation)
  }

  /** Whether the peer has not confirmed any entry yet, so that each frame contains all of them. */
  get isUnconfirmed (): boolean {
    return this.#confirmed === 0
  }

  /** Whether the entries take so much memory at both ends that a new session should start. */
  get isFull (): boolean {
    return this.#entries.length > MAX_SESSION_ENTRIES
  }

  encode (rows: readonly BackupRow[]): { readonly frame: BackupFrame, readonly size: number } {
    const hour = newestHour(rows.flatMap(({ lines }) => lines))
    const encoded = rows.map(({ row, lines }): BackupFrameRow => [this.#indexOf(row), lines.map((line) => {
      const [workspace, classId, stage, service, use] = line
      return encodeLine(line, this.#indexOf(workspace), this.#indexOf([classId, stage, service, use]), hour)
    })])
    const frame: BackupFrame = [this.#session, this.#confirmed, this.#entries.slice(this.#confirmed), hour, encoded]
    return { frame, size: this.#entries.length }
  }

  /** Records that the peer has the first `size` entries. */
  confirm (size: number): void {
    this.#confirmed = Math.max(this.#confirmed, size)
  }

  #indexOf (entry: BackupEntry): number {
    const key = JSON.stringify(entry)
    const known = this.#indexes.get(key)
    if (known !== undefined) return known
    this.#indexes.set(key, this.#entries.length)
    return this.#entries.push(entry) - 1
  }
}

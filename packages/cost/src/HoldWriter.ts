import { hash32 } from '@papayahill/common'
import type { Incarnation } from '@papayahill/common'
import { newestHour, writeLine } from './holdFrame.js'
import { MAX_HOLD_NAMES } from './constants.js'
import type { HoldEntry, HoldFrame, HoldRow } from './holdFrame.js'
import type { HeldRow } from './LedgerHolders.js'

/** Sessions are told apart by a number that takes two bytes. */
const SESSIONS = 65_536

/**
 * One session with one holder: names are sent until the holder has said that it has them, and as indexes
 * from then on.
 *
 * @example
 * const writer = new HoldWriter(life, 1)
 * const { frame, size } = writer.write(rows)
 * writer.confirm(size)
 */
export class HoldWriter {
  readonly #session: number
  readonly #entries: HoldEntry[] = []
  readonly #indexes = new Map<string, number>()
  #confirmed = 0

  constructor (life: Incarnation, sequence: number) {
    this.#session = hash32(`${life} ${sequence}`) % SESSIONS
    this.#indexOf(life)
  }

  /** Whether the holder has confirmed no name yet, so that each frame carries all of them. */
  get isOpening (): boolean {
    return this.#confirmed === 0
  }

  /** Whether the names take so much memory at both ends that a new session should begin. */
  get isFull (): boolean {
    return this.#entries.length > MAX_HOLD_NAMES
  }

  write (rows: readonly HeldRow[]): { readonly frame: HoldFrame, readonly size: number } {
    const hour = newestHour(rows.flatMap(({ lines }) => lines))
    const written = rows.map(({ row, lines }): HoldRow => [this.#indexOf(row), lines.map((line) => {
      const [workspace, classId, stage, service, use] = line
      return writeLine(line, this.#indexOf(workspace), this.#indexOf([classId, stage, service, use]), hour)
    })])
    const frame: HoldFrame = [this.#session, this.#confirmed, this.#entries.slice(this.#confirmed), hour, written]
    return { frame, size: this.#entries.length }
  }

  /** The holder has the first `size` entries. */
  confirm (size: number): void {
    this.#confirmed = Math.max(this.#confirmed, size)
  }

  #indexOf (entry: HoldEntry): number {
    const key = JSON.stringify(entry)
    const known = this.#indexes.get(key)
    if (known !== undefined) return known
    this.#indexes.set(key, this.#entries.length)
    return this.#entries.push(entry) - 1
  }
}

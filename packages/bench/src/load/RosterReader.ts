import { millis } from '@papayahill/common'
import type { Clock, Incarnation, Millis, Timer } from '@papayahill/common'
import type { RosterCopy, RosterRecord } from '@papayahill/endpoints'
import type { RowKey, TableService } from '@papayahill/platform'

export const ROSTER_ROW = 'roster' as RowKey
const READ_PERIOD = millis(500)
const EMPTY: RosterRecord = { version: 0, members: [], departed: [] }

export interface RosterReaderOptions {
  readonly self: Incarnation
  readonly clock: Clock
  readonly table: TableService
}

/**
 * A plain polled copy of the roster record, so that the endpoints can be measured by themselves.
 *
 * @example
 * const roster = new RosterReader({ self: incarnation, clock, table })
 * roster.start()
 */
export class RosterReader implements RosterCopy {
  readonly #options: RosterReaderOptions
  readonly #listeners: Array<() => void> = []
  #record = EMPTY
  #confirmedAt = millis(-Infinity)
  #timer: Timer | undefined

  constructor (options: RosterReaderOptions) {
    this.#options = options
  }

  start (): void {
    void this.#read()
    this.#timer = this.#options.clock.every(READ_PERIOD, () => { void this.#read() })
  }

  stop (): void {
    this.#timer?.cancel()
  }

  view (): RosterRecord {
    return this.#record
  }

  age (): Millis {
    return millis(this.#options.clock.now() - this.#confirmedAt)
  }

  isMember (): boolean {
    return this.#record.members.some((life) => life.incarnation === this.#options.self)
  }

  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  async #read (): Promise<void> {
    const askedAt = this.#options.clock.now()
    const answer = await this.#options.table.read([ROSTER_ROW])
    const row = answer.isOk ? answer.value[0] : undefined
    if (row === undefined || row.value === null || row.version < this.#record.version) return
    this.#confirmedAt = millis(Math.max(this.#confirmedAt, askedAt))
    if (row.version === this.#record.version) return
    this.#record = row.value as unknown as RosterRecord
    for (const listener of this.#listeners) listener()
  }
}

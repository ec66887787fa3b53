import { epochMillis } from '@papayahill/common'
import type { Clock, EpochMillis, Incarnation, Millis, ServiceId } from '@papayahill/common'
import type { Row, RowKey, TableService } from '@papayahill/stores'
import { MAX_TRIES, RETRY_PERIOD } from './constants.js'
import { giverRowKey, PACE_ROW, parseGiver, parsePace } from './giverRow.js'
import type { GiverRecord } from './giverRow.js'

/** The right to send one order. */
export interface Grant {
  readonly fence: number
  /** Monotonic time at which the write or read that confirmed it began. */
  readonly confirmedAt: Millis
  /** Whether another life gave the last order to the service. */
  readonly isTakeover: boolean
}

export interface GiverTableOptions {
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly table: TableService
}

export interface GrantWant {
  readonly service: ServiceId
  readonly order: string
}

/**
 * Hands out fencing numbers through the table service and paces loads over all instances.
 *
 * @example
 * const grant = await givers.grant({ service, order: 'o1' })
 */
export class GiverTable {
  readonly #options: GiverTableOptions

  constructor (options: GiverTableOptions) {
    this.#options = options
  }

  /** Gets the next fencing number; undefined where the store gave no answer of use. */
  grant (want: GrantWant): Promise<Grant | undefined> {
    return this.#retry(() => this.#tryGrant(want))
  }

  /**
   * Reserves the next load from the weight store for this instance: the calendar time at which it may start.
   * A lost answer may waste a reservation, never double one.
   */
  reserveLoad (interval: Millis): Promise<EpochMillis | undefined> {
    return this.#retry(() => this.#tryReserve(interval))
  }

  /** Reads whether the grant is still the newest; the time at which the read began, or undefined. */
  async confirm (service: ServiceId, fence: number): Promise<Millis | undefined> {
    const confirmedAt = this.#options.clock.now()
    const result = await this.#options.table.read([giverRowKey(service)])
    if (result.isErr) return undefined
    return parseGiver(result.value[0]?.value).fence === fence ? confirmedAt : undefined
  }

  async #retry<Value> (attempt: () => Promise<Value | undefined>): Promise<Value | undefined> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const value = await attempt()
      if (value !== undefined) return value
      await this.#options.clock.sleep(RETRY_PERIOD)
    }
    return undefined
  }

  /** Reads, then writes on the condition that nothing changed; a lost answer is found again by the next read. */
  async #tryGrant ({ service, order }: GrantWant): Promise<Grant | undefined> {
    const { table, clock, incarnation } = this.#options
    const confirmedAt = clock.now()
    const row = await this.#read(giverRowKey(service))
    if (row === undefined) return undefined
    const last = parseGiver(row.value)
    if (last.order === order) return { fence: last.fence, confirmedAt, isTakeover: true }
    const record: GiverRecord = { fence: last.fence + 1, holder: incarnation, order }
    const result = await table.commit({ conditions: [{ key: row.key, version: row.version }], writes: [{ key: row.key, value: record }] })
    const isTakeover = last.holder !== incarnation && last.holder !== ''
    return result.isOk ? { fence: record.fence, confirmedAt, isTakeover } : undefined
  }

  async #tryReserve (interval: Millis): Promise<EpochMillis | undefined> {
    const row = await this.#read(PACE_ROW)
    if (row === undefined) return undefined
    const loadAt = epochMillis(Math.max(this.#options.clock.wall(), parsePace(row.value)))
    const writes = [{ key: PACE_ROW, value: { nextAt: loadAt + interval } }]
    const result = await this.#options.table.commit({ conditions: [{ key: row.key, version: row.version }], writes })
    return result.isOk ? loadAt : undefined
  }

  async #read (key: RowKey): Promise<Row | undefined> {
    const result = await this.#options.table.read([key])
    return result.isOk ? result.value[0] : undefined
  }
}

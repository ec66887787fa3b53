import { epochMillis } from '@papayahill/common'
import type { Clock, EpochMillis, Incarnation, Millis, ServiceId } from '@papayahill/common'
import type { Row, RowKey, TableService } from '@papayahill/stores'
import { MAX_STORE_TRIES, RETRY_PERIOD } from './constants.js'
import { issuerRowKey, LOAD_PACE_ROW, parseIssuer, parseNextLoadAt } from './issuerRow.js'
import type { IssuerRecord } from './issuerRow.js'

/** Permission to send one order, with its fencing token. */
export interface Grant {
  readonly fence: number
  /** Monotonic time at which the write or read that confirmed it began. */
  readonly confirmedAt: Millis
  /** Whether another incarnation may have issued the last order to the service. */
  readonly isTakeover: boolean
}

export interface IssuerTableOptions {
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly table: TableService
}

export interface GrantRequest {
  readonly service: ServiceId
  readonly order: string
}

/**
 * Allocates fencing tokens in the table service and paces loads across all instances.
 *
 * @example
 * const grant = await issuerTable.grant({ service, order: 'o1' })
 */
export class IssuerTable {
  readonly #options: IssuerTableOptions

  constructor (options: IssuerTableOptions) {
    this.#options = options
  }

  /** Allocates the next fencing token; undefined if the store failed on every try. */
  grant (request: GrantRequest): Promise<Grant | undefined> {
    return this.#withRetries(() => this.#tryGrant(request))
  }

  /**
   * Reserves the next load from the weight store; returns the wall clock time at which it may start.
   * A lost answer can waste a reservation, but never gives one out twice.
   */
  reserveLoad (interval: Millis): Promise<EpochMillis | undefined> {
    return this.#withRetries(() => this.#tryReserve(interval))
  }

  /** Checks that the grant is still the latest; returns the time at which the read began, or undefined if not confirmed. */
  async confirm (service: ServiceId, fence: number): Promise<Millis | undefined> {
    const confirmedAt = this.#options.clock.now()
    const result = await this.#options.table.read([issuerRowKey(service)])
    if (result.isErr) return undefined
    return parseIssuer(result.value[0]?.value).fence === fence ? confirmedAt : undefined
  }

  async #withRetries<Value> (attempt: () => Promise<Value | undefined>): Promise<Value | undefined> {
    for (let tries = 0; tries < MAX_STORE_TRIES; tries++) {
      const value = await attempt()
      if (value !== undefined) return value
      await this.#options.clock.sleep(RETRY_PERIOD)
    }
    return undefined
  }

  /** Reads, then writes if the row has not changed; if the answer is lost, the next read finds the written order. */
  async #tryGrant ({ service, order }: GrantRequest): Promise<Grant | undefined> {
    const { table, clock, incarnation } = this.#options
    const confirmedAt = clock.now()
    const row = await this.#read(issuerRowKey(service))
    if (row === undefined) return undefined
    const last = parseIssuer(row.value)
    if (last.order === order) return { fence: last.fence, confirmedAt, isTakeover: true }
    const record: IssuerRecord = { fence: last.fence + 1, holder: incarnation, order }
    const result = await table.commit({ conditions: [{ key: row.key, version: row.version }], writes: [{ key: row.key, value: record }] })
    const isTakeover = last.holder !== incarnation && last.holder !== ''
    return result.isOk ? { fence: record.fence, confirmedAt, isTakeover } : undefined
  }

  async #tryReserve (interval: Millis): Promise<EpochMillis | undefined> {
    const row = await this.#read(LOAD_PACE_ROW)
    if (row === undefined) return undefined
    const loadAt = epochMillis(Math.max(this.#options.clock.wall(), parseNextLoadAt(row.value)))
    const writes = [{ key: LOAD_PACE_ROW, value: { nextAt: loadAt + interval } }]
    const result = await this.#options.table.commit({ conditions: [{ key: row.key, version: row.version }], writes })
    return result.isOk ? loadAt : undefined
  }

  async #read (key: RowKey): Promise<Row | undefined> {
    const result = await this.#options.table.read([key])
    return result.isOk ? result.value[0] : undefined
  }
}

import type { Clock, Incarnation, Millis, ServiceId } from '@papayahill/common'
import type { Row, RowWrite, TableService } from '@papayahill/platform'
import { MAX_TRIES, RETRY_PERIOD } from './constants.js'
import { giverRowKey, PACE_ROW, parseGiver, parsePace } from './giverRow.js'
import type { GiverRecord } from './giverRow.js'

/** The right to send one order. */
export interface Grant {
  readonly fence: number
  /** Calendar time before which a load must not start; 0 for orders that load nothing. */
  readonly loadAt: number
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
  /** Time between two loads; undefined for an order that loads nothing. */
  readonly loadInterval: Millis | undefined
}

/**
 * Hands out fencing numbers through the table service and paces loads over all instances.
 *
 * @example
 * const grant = await givers.grant({ service, order: 'o1', loadInterval: seconds(5) })
 */
export class GiverTable {
  readonly #options: GiverTableOptions

  constructor (options: GiverTableOptions) {
    this.#options = options
  }

  /** Gets the next fencing number; undefined where the store gave no answer of use. */
  async grant (want: GrantWant): Promise<Grant | undefined> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const grant = await this.#try(want)
      if (grant !== undefined) return grant
      await this.#options.clock.sleep(RETRY_PERIOD)
    }
    return undefined
  }

  /** Reads whether the grant is still the newest; the time at which the read began, or undefined. */
  async confirm (service: ServiceId, fence: number): Promise<Millis | undefined> {
    const confirmedAt = this.#options.clock.now()
    const result = await this.#options.table.read([giverRowKey(service)])
    if (result.isErr) return undefined
    return parseGiver(result.value[0]?.value).fence === fence ? confirmedAt : undefined
  }

  /** Reads, then writes on the condition that nothing changed; a lost answer is found again by the next read. */
  async #try (want: GrantWant): Promise<Grant | undefined> {
    const { table, clock, incarnation } = this.#options
    const confirmedAt = clock.now()
    const read = await table.read([giverRowKey(want.service), PACE_ROW])
    if (read.isErr) return undefined
    const [giverRow, paceRow] = read.value as readonly [Row, Row]
    const last = parseGiver(giverRow.value)
    const isTakeover = last.holder !== incarnation && last.holder !== ''
    if (last.order === want.order) return { fence: last.fence, loadAt: this.#loadAt(want, paceRow), confirmedAt, isTakeover: true }
    const record: GiverRecord = { fence: last.fence + 1, holder: incarnation, order: want.order }
    const loadAt = this.#loadAt(want, paceRow)
    const writes: RowWrite[] = [{ key: giverRow.key, value: record }]
    if (want.loadInterval !== undefined) writes.push({ key: PACE_ROW, value: { nextAt: loadAt + want.loadInterval } })
    const rows = want.loadInterval === undefined ? [giverRow] : [giverRow, paceRow]
    const result = await table.commit({ conditions: rows.map(({ key, version }) => ({ key, version })), writes })
    return result.isOk ? { fence: record.fence, loadAt, confirmedAt, isTakeover } : undefined
  }

  #loadAt ({ loadInterval }: GrantWant, paceRow: Row): number {
    if (loadInterval === undefined) return 0
    return Math.max(this.#options.clock.wall(), parsePace(paceRow.value))
  }
}

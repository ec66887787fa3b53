import { brand, isJsonObject, millis } from '@papayahill/common'
import type { Clock, DomainId, EventLog, Json, Millis, ServiceId } from '@papayahill/common'
import type { DutyCommitted, DutyRow, DutyTable } from '@papayahill/duties'
import { STORE_RETRY } from './constants.js'
import { SCALING_EVENTS } from './events.js'
import { OrderBook } from './OrderBook.js'
import type { EndpointOrder } from './types.js'

export const SCALING_ROW = 'scaling'

export interface ScalingRowOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly table: DutyTable
}

const encodeRow = (era: number, book: OrderBook): Json => ({
  era, orders: book.orders().map(({ service, domain, endpoints }) => [service, domain, endpoints])
})

const decodeOrder = (value: Json): EndpointOrder | undefined => {
  if (!Array.isArray(value)) return undefined
  const [service, domain, endpoints] = value as readonly Json[]
  const isOrder = typeof service === 'string' && typeof domain === 'string' && Number.isInteger(endpoints) && Number(endpoints) >= 0
  return isOrder ? { service: brand<ServiceId>(service), domain: brand<DomainId>(domain), endpoints: Number(endpoints) } : undefined
}

/** Decodes the row; orders that cannot be read are left out, and begin again from the listed endpoints. */
const decodeRow = (value: Json | undefined): { readonly era: number, readonly book: OrderBook } | undefined => {
  if (!isJsonObject(value) || typeof value['era'] !== 'number' || !Array.isArray(value['orders'])) return undefined
  const orders = (value['orders'] as readonly Json[]).map(decodeOrder).filter((order) => order !== undefined)
  return { era: value['era'], book: new OrderBook(orders) }
}

/**
 * The row of the duties' table with the last orders. It is read once by each new holder, and written only when an order
 * changes. A write without an answer may have been made, or may be made later; the row is read again before the next one.
 *
 * @example
 * if (await row.read()) await row.write(row.book.with(changes))
 */
export class ScalingRow {
  readonly #options: ScalingRowOptions
  /** Undefined if the row must be read before it is written. */
  #revision: number | undefined
  #era = 0
  #retryAt: Millis = millis(0)
  #book = new OrderBook()
  #isOlder = false
  /** Calls to the store since the start. */
  calls = 0

  constructor (options: ScalingRowOptions) {
    this.#options = options
  }

  /** The orders that are known to be in the store. */
  get book (): OrderBook {
    return this.#book
  }

  /** Whether the store was restored from an older copy since the row that was read last was written. */
  get isOlder (): boolean {
    return this.#isOlder
  }

  get isRead (): boolean {
    return this.#revision !== undefined
  }

  /** Whether the store may be called, by the outcome of the last call. */
  get canCall (): boolean {
    return this.#options.clock.now() >= this.#retryAt
  }

  /** Reads the row; its orders replace the known ones unless those are kept. Returns whether it could be read. */
  async read (keepsOrders: boolean): Promise<boolean> {
    this.calls++
    const result = await this.#options.table.read()
    if (result.isErr) return this.#fail(result.error.detail)
    const { era, rows } = result.value
    const row = rows.find(({ key }) => key === SCALING_ROW)
    const decoded = decodeRow(row?.value)
    this.#revision = row?.revision ?? 0
    this.#era = era
    if (keepsOrders) return true
    this.#book = decoded?.book ?? new OrderBook()
    this.#isOlder = decoded !== undefined && decoded.era !== era
    return true
  }

  /** Writes other orders, on the condition that the row was not changed; returns whether they are in the store. */
  async write (book: OrderBook): Promise<boolean> {
    const revision = this.#revision
    if (revision === undefined) return false
    this.calls++
    const result = await this.#options.table.commit({
      era: this.#era,
      expected: [{ key: SCALING_ROW, revision }],
      writes: [{ key: SCALING_ROW, value: encodeRow(this.#era, book) }]
    })
    if (result.isErr) return this.#fail(result.error.detail)
    return this.#settle(result.value, book)
  }

  #settle (committed: DutyCommitted, book: OrderBook): boolean {
    if (committed.kind === 'committed') {
      this.#revision = committed.revision
      this.#book = book
      this.#isOlder = false
      return true
    }
    const row: DutyRow | undefined = committed.rows.find(({ key }) => key === SCALING_ROW)
    this.#options.log.emit(SCALING_EVENTS.ordersConflicted, { expected: this.#revision, found: row?.revision })
    this.#revision = undefined
    return false
  }

  #fail (detail: string): false {
    this.#revision = undefined
    this.#retryAt = millis(this.#options.clock.now() + STORE_RETRY)
    this.#options.log.emit(SCALING_EVENTS.ordersUnreadable, { detail })
    return false
  }

  /** Requires that the row is read before it is written. */
  forget (): void {
    this.#revision = undefined
  }
}

import { failure, millis, refusal } from '@papayahill/common'
import type { Clock, EndpointId, EventLog, Failure, Incarnation, InstanceId, Millis, ServiceId } from '@papayahill/common'
import type { InstanceList, ListedEndpoint, TableService } from '@papayahill/stores'
import PQueue from 'p-queue'
import { Result } from 'true-myth'
import { DELIVERY_TIMEOUT, MAX_CLOCK_DRIFT, MAX_CONFIRMATION_AGE, LOAD_INTERVAL, MAX_STATUSES } from './constants.js'
import { ORDERS_EVENTS } from './events.js'
import { IssuerTable } from './IssuerTable.js'
import type { Grant } from './IssuerTable.js'
import type { OrderAction, OrderChannel, OrderRefusal, Orders, OrderState, OrderStatus } from './types.js'

export interface OrderManagerOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly table: TableService
  /** Age of this instance's copy of the roster; Infinity before the first read. */
  readonly rosterAge: () => Millis
  readonly list: InstanceList
  readonly channel: OrderChannel
  /** Whether a service's endpoints reject an old fencing token. */
  readonly checksFencing: (service: ServiceId) => boolean
  /** Time that the weight store needs between two loads. */
  readonly loadInterval?: Millis
  readonly log: EventLog
}

/** An order that is queued or being sent. */
interface PendingOrder {
  readonly id: string
  readonly service: ServiceId
  readonly endpoint: ListedEndpoint
  readonly action: OrderAction
}

const LOAD_KINDS: ReadonlySet<OrderAction['kind']> = new Set<OrderAction['kind']>(['load-model', 'load-adapter', 'load-version'])

/** State of an order that its endpoint did not confirm. */
const STATE_BY_REFUSAL: Readonly<Record<OrderRefusal['kind'], OrderState>> = {
  'old-fence': 'refused',
  unreachable: 'refused',
  failed: 'refused',
  unknown: 'unknown'
}

/** Wait of a new issuer until the previous one can no longer send and has no order in flight. */
const TAKEOVER_WAIT = millis(MAX_CONFIRMATION_AGE + MAX_CLOCK_DRIFT + DELIVERY_TIMEOUT)

/**
 * Sends operators' orders to endpoints, one at a time, each with a fencing token from the table service.
 * Endpoints that check the token reject an old one. For those that ignore it, a new issuer waits until the
 * previous one can no longer send, and no issuer sends if its confirmation is too old.
 *
 * @example
 * const orders = new OrderManager({ self, incarnation, clock, table, rosterAge, list, channel, checksFencing, log })
 * await orders.issue(service, endpoint, { kind: 'load-model', model: 'guide-7b' })
 */
export class OrderManager implements Orders {
  readonly #options: OrderManagerOptions
  readonly #issuerTable: IssuerTable
  readonly #queue = new PQueue({ concurrency: 1 })
  readonly #statuses = new Map<string, OrderStatus>()
  #orderCount = 0

  constructor (options: OrderManagerOptions) {
    this.#options = options
    this.#issuerTable = new IssuerTable(options)
  }

  start (): void {
    this.#queue.start()
  }

  /** Queued orders are no longer started. */
  stop (): void {
    this.#queue.pause()
  }

  /** Resolves once the endpoint has answered, or the order was refused or timed out. */
  async issue (service: ServiceId, endpoint: EndpointId, action: OrderAction): Promise<Result<OrderStatus, Failure>> {
    if (this.#options.rosterAge() === Infinity) return Result.err(refusal('not-ready', 'the roster has not been read yet'))
    const listed = await this.#find(service, endpoint)
    if (listed.isErr) return Result.err(listed.error)
    this.#orderCount++
    const order: PendingOrder = { id: `${this.#options.incarnation}/${this.#orderCount}`, service, endpoint: listed.value, action }
    this.#setStatus(order, 'accepted', 'waits in the queue')
    return await this.#queue.add(async () => await this.#issue(order))
  }

  status (): readonly OrderStatus[] {
    return [...this.#statuses.values()]
  }

  async #find (service: ServiceId, endpoint: EndpointId): Promise<Result<ListedEndpoint, Failure>> {
    const listing = await this.#options.list.list()
    if (listing.isErr) return Result.err(refusal('store-unavailable', 'the instance list gave no answer'))
    const listed = listing.value.endpoints.find(({ id, service: of }) => id === endpoint && of === service)
    if (listed === undefined) return Result.err(refusal('unknown-resource', `the instance list has no endpoint ${endpoint} of ${service}`))
    return Result.ok(listed)
  }

  /** The fencing token is allocated after the wait for the weight store, so that it is recent when the order is sent. */
  async #issue (order: PendingOrder): Promise<Result<OrderStatus, Failure>> {
    const { service, action, id } = order
    if (LOAD_KINDS.has(action.kind) && !await this.#waitForLoadSlot()) {
      return this.#refuse(order, 'store-unavailable', 'the store reserved no load')
    }
    const grant = await this.#issuerTable.grant({ service, order: id })
    if (grant === undefined) return this.#refuse(order, 'store-unavailable', 'the store gave no fencing token')
    this.#options.log.emit(ORDERS_EVENTS.orderAccepted, { order: id, service, endpoint: order.endpoint.id, fence: grant.fence })
    await this.#waitForTakeover(order, grant)
    return await this.#send(order, grant)
  }

  /** Waits until the weight store has capacity for a load; false if the store made no reservation. */
  async #waitForLoadSlot (): Promise<boolean> {
    const { clock, loadInterval = LOAD_INTERVAL } = this.#options
    const loadAt = await this.#issuerTable.reserveLoad(loadInterval)
    if (loadAt === undefined) return false
    await clock.sleep(millis(Math.max(0, loadAt - clock.wall())))
    return true
  }

  /** Endpoints that check fencing tokens need no wait: they reject the previous issuer themselves. */
  async #waitForTakeover ({ service }: PendingOrder, { isTakeover, fence }: Grant): Promise<void> {
    const { checksFencing, clock, log } = this.#options
    if (!isTakeover || checksFencing(service)) return
    log.emit(ORDERS_EVENTS.giverTookOver, { service, fence, waitMs: TAKEOVER_WAIT })
    await clock.sleep(TAKEOVER_WAIT)
  }

  /** Sends in the same event loop iteration in which the age of the confirmation was checked. */
  async #send (order: PendingOrder, grant: Grant): Promise<Result<OrderStatus, Failure>> {
    const { service, endpoint, action } = order
    const confirmedAt = await this.#confirmedAt(service, grant)
    if (confirmedAt === undefined || this.#options.clock.now() - confirmedAt > MAX_CONFIRMATION_AGE) {
      this.#options.log.emit(ORDERS_EVENTS.orderHeldBack, { order: order.id, service, fence: grant.fence })
      return this.#refuse(order, 'conflict', 'another instance issues orders to the service now, or the store did not confirm this one')
    }
    this.#setStatus(order, 'sent', `sent with fencing token ${grant.fence}`)
    const delivery = this.#options.channel.deliver(endpoint, { endpoint: endpoint.id, action, fence: grant.fence })
    const result = await Promise.race([delivery, this.#timeout()])
    return result.isOk ? this.#complete(order) : this.#fail(order, result.error)
  }

  /** A recent grant needs no confirmation; an older one is read again. */
  async #confirmedAt (service: ServiceId, { confirmedAt, fence }: Grant): Promise<Millis | undefined> {
    if (this.#options.clock.now() - confirmedAt <= MAX_CONFIRMATION_AGE) return confirmedAt
    return await this.#issuerTable.confirm(service, fence)
  }

  async #timeout (): Promise<Result<void, OrderRefusal>> {
    await this.#options.clock.sleep(DELIVERY_TIMEOUT)
    return Result.err({ kind: 'unknown', detail: `no answer in ${DELIVERY_TIMEOUT} ms` })
  }

  #complete (order: PendingOrder): Result<OrderStatus, Failure> {
    this.#options.log.emit(ORDERS_EVENTS.orderDone, { order: order.id, endpoint: order.endpoint.id })
    return Result.ok(this.#setStatus(order, 'done', 'the endpoint carried it out'))
  }

  #fail (order: PendingOrder, { kind, detail }: OrderRefusal): Result<OrderStatus, Failure> {
    const state = STATE_BY_REFUSAL[kind]
    const event = state === 'unknown' ? ORDERS_EVENTS.orderUnknown : ORDERS_EVENTS.orderRefused
    this.#options.log.emit(event, { order: order.id, endpoint: order.endpoint.id, kind, detail })
    this.#setStatus(order, state, detail)
    if (state === 'unknown') return Result.err(failure('outcome-unknown', detail, 'unknown'))
    return Result.err(kind === 'failed' ? failure('stage-failed', detail, 'ran') : refusal('conflict', detail))
  }

  #refuse (order: PendingOrder, kind: 'store-unavailable' | 'conflict', detail: string): Result<OrderStatus, Failure> {
    this.#setStatus(order, 'refused', detail)
    return Result.err(refusal(kind, detail))
  }

  #setStatus ({ id, service, endpoint, action }: PendingOrder, state: OrderState, detail: string): OrderStatus {
    const status: OrderStatus = { id, service, endpoint: endpoint.id, action, state, detail }
    this.#statuses.set(id, status)
    const [oldest] = this.#statuses.keys()
    if (this.#statuses.size > MAX_STATUSES && oldest !== undefined) this.#statuses.delete(oldest)
    return status
  }
}

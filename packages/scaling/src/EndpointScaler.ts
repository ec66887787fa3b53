import type { Timer } from '@papayahill/common'
import type { DutyTable, FencingToken } from '@papayahill/duties'
import type { Reporter, ReportSource } from '@papayahill/reports'
import { ORDER_SPAN, PLAN_PERIOD } from './constants.js'
import { SCALING_EVENTS } from './events.js'
import { OrderBook } from './OrderBook.js'
import { OrderSender } from './OrderSender.js'
import type { OrderCounts } from './OrderSender.js'
import { ScalingRow } from './ScalingRow.js'
import { changesOf, ordersOf, ServicePlanner } from './ServicePlanner.js'
import type { PlannedService, ScalingStatus, ServicePlannerOptions } from './ServicePlanner.js'
import type { EndpointOrder, ScalingChannel, ScalingLease } from './types.js'

export interface EndpointScalerOptions extends ServicePlannerOptions {
  readonly lease: ScalingLease
  readonly table: DutyTable
  readonly channel: ScalingChannel
  /** This instance's own load; needed where its reports do not come to itself as well. */
  readonly own?: { readonly reporter: Reporter, readonly source: ReportSource } | undefined
}

/**
 * Orders endpoints while this instance holds the lease of the duties: it plans once a second, writes changed orders to the
 * store, and then sends them. While the store or the platform does not answer, the last orders stand.
 *
 * @example
 * const scaler = new EndpointScaler({ clock, log, lease, table, channel, loads, services, endpoints, isDomainOut, members, isMoving })
 * scaler.start()
 */
export class EndpointScaler {
  readonly #options: EndpointScalerOptions
  readonly #planner: ServicePlanner
  readonly #row: ScalingRow
  readonly #sender: OrderSender
  /** Token under which the orders were taken over; undefined while another instance holds the lease. */
  #term: FencingToken | undefined
  /** Whether the last orders have been read in this term. */
  #isResumed = false
  #isCallingStore = false
  #timer: Timer | undefined

  constructor (options: EndpointScalerOptions) {
    this.#options = options
    const { clock, log, table, channel, lease } = options
    this.#planner = new ServicePlanner(options)
    this.#row = new ScalingRow({ clock, log, table })
    this.#sender = new OrderSender({ clock, log, channel, permit: () => this.#permit() })
    lease.onChange(() => { this.#checkTerm() })
  }

  /** Outcomes of orders since the start. */
  get orderCounts (): OrderCounts {
    return this.#sender.counts
  }

  /** Calls to the store since the start. */
  get storeCalls (): number {
    return this.#row.calls
  }

  start (): void {
    this.#timer ??= this.#options.clock.every(PLAN_PERIOD, () => { this.#tick() })
  }

  /** Stops planning; orders that wait for a connection are not sent. */
  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
    this.#endTerm()
  }

  /** The last plan of each service; empty while another instance holds the lease. */
  status (): readonly ScalingStatus[] {
    return this.#planner.status()
  }

  #permit (): FencingToken | undefined {
    const token = this.#options.lease.permit(ORDER_SPAN)
    return token === this.#term ? token : undefined
  }

  /** Begins or ends a term; returns whether this instance may plan. */
  #checkTerm (): boolean {
    const { lease } = this.#options
    if (!lease.isHeld) this.#endTerm()
    const token = lease.isHeld ? lease.permit(ORDER_SPAN) : undefined
    if (token === undefined || this.#timer === undefined) return false
    if (token === this.#term) return true
    this.#endTerm()
    this.#term = token
    return true
  }

  #endTerm (): void {
    this.#term = undefined
    this.#isResumed = false
    this.#row.forget()
    this.#sender.clear()
    this.#planner.clear()
  }

  #tick (): void {
    if (!this.#checkTerm()) return
    this.#receiveOwn()
    const planned = this.#planner.plan(this.#row)
    if (this.#isResumed) this.#compareWithList(planned)
    if (!this.#isCallingStore) void this.#apply(planned)
    if (this.#isResumed) this.#sender.send()
  }

  #receiveOwn (): void {
    const { clock, loads, own } = this.#options
    const report = own?.source.next(own.reporter.incarnation)
    if (own === undefined || report === undefined) return
    loads.receive(own.reporter, report.body, clock.now())
    report.confirm()
  }

  /** Orders that may be outdated are written anew before any is sent. */
  #compareWithList (planned: readonly PlannedService[]): void {
    const { book, isOlder } = this.#row
    if (isOlder) return
    for (const { service, scaling, input } of planned) {
      for (const { domain, listed } of input.domains) {
        const endpoints = book.get(service, domain)
        if (endpoints !== undefined) this.#sender.set({ service, domain, endpoints }, listed, scaling.bootTime)
      }
    }
    this.#sender.retain(book.only(new Set(planned.map(({ service }) => service))).orders())
  }

  /** Reads the row if it must be, or writes the orders that differ from it. */
  async #apply (planned: readonly PlannedService[]): Promise<void> {
    if (!this.#row.canCall) return
    this.#isCallingStore = true
    try {
      if (!this.#row.isRead) await this.#read()
      else if (this.#isResumed) await this.#write(planned)
    } finally {
      this.#isCallingStore = false
    }
  }

  async #read (): Promise<void> {
    const term = this.#term
    const isRead = await this.#row.read(this.#isResumed)
    if (this.#term !== term) return this.#row.forget()
    if (!isRead || this.#isResumed) return
    this.#isResumed = true
    this.#options.log.emit(SCALING_EVENTS.ordersResumed, { orders: this.#row.book.orders().length, isOlder: this.#row.isOlder })
  }

  /** Writes all wanted numbers if one differs from the orders in the store, and sends the ones that differ. */
  async #write (planned: readonly PlannedService[]): Promise<void> {
    const term = this.#term
    const { book, isOlder } = this.#row
    const changes = planned.flatMap((service) => changesOf(service, book))
    if (changes.length === 0 && !isOlder) return
    const isWritten = await this.#row.write(new OrderBook(planned.flatMap(ordersOf)))
    if (this.#term !== term) return this.#row.forget()
    if (!isWritten) return
    for (const change of changes) {
      this.#noteOrder(change, book, planned)
      this.#sender.add(change)
    }
    this.#sender.send()
  }

  #noteOrder (order: EndpointOrder, before: OrderBook, planned: readonly PlannedService[]): void {
    const { plan, input } = planned.find(({ service }) => service === order.service)!
    const { listed, cold, ordered } = input.domains.find(({ domain }) => domain === order.domain)!
    this.#options.log.emit(SCALING_EVENTS.endpointsOrdered, {
      ...order,
      before: before.get(order.service, order.domain) ?? ordered,
      reason: plan.reason,
      demand: plan.demand,
      forecast: plan.forecast,
      needed: plan.needed,
      concurrency: plan.history.concurrency,
      listed,
      cold,
      heard: input.heard.size,
      members: input.members.size
    })
  }
}

import type { Clock, DomainId, EventLog, Incarnation, Millis, ServiceId, Timer } from '@papayahill/common'
import type { Endpoint, ScalingProfile, ServiceProfile } from '@papayahill/directory'
import type { DutyTable, FencingToken } from '@papayahill/duties'
import { DEFAULT_COLD_TIME, MAX_SAMPLE_AGE, ORDER_SPAN, PLAN_PERIOD } from './constants.js'
import { domainEndpointsOf } from './domainEndpointsOf.js'
import { SCALING_EVENTS } from './events.js'
import type { LoadCollector } from './LoadCollector.js'
import { OrderBook } from './OrderBook.js'
import { OrderSender } from './OrderSender.js'
import type { OrderCounts } from './OrderSender.js'
import { EMPTY_HISTORY, planEndpoints } from './planEndpoints.js'
import { ScalingRow } from './ScalingRow.js'
import type {
  DomainEndpoints, EndpointOrder, ScalingChannel, ScalingHistory, ScalingInput, ScalingLease, ScalingPlan, ScalingReason
} from './types.js'

export interface EndpointScalerOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly lease: ScalingLease
  readonly table: DutyTable
  readonly channel: ScalingChannel
  readonly loads: Pick<LoadCollector, 'samples' | 'heardWithin'>
  /** Profiles of all services; those without `scaling` are never ordered. */
  readonly services: () => Iterable<ServiceProfile>
  /** All listed endpoints of a service, also those that drain or whose failure domain is out. */
  readonly endpoints: (service: ServiceId) => Iterable<Endpoint>
  readonly isDomainOut: (domain: DomainId) => boolean
  /** Instances that are alive, this one included. */
  readonly members: () => ReadonlySet<Incarnation>
  /** Whether a move between versions of the service is under way. */
  readonly isMoving: (service: ServiceId) => boolean
  /** Calls that an endpoint takes well; its slots by default. */
  readonly concurrencyOf?: (endpoint: Endpoint) => number
  readonly coldTime?: Millis
}

/** A service and its last plan, for operators. */
export interface ScalingStatus extends Omit<ScalingPlan, 'history'> {
  readonly service: ServiceId
}

interface PlannedService {
  readonly service: ServiceId
  readonly scaling: ScalingProfile
  readonly input: ScalingInput
  readonly plan: ScalingPlan
}

const HELD_REASONS: ReadonlySet<ScalingReason> = new Set<ScalingReason>(['samples', 'move', 'booting'])

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
  readonly #row: ScalingRow
  readonly #sender: OrderSender
  readonly #histories = new Map<ServiceId, ScalingHistory>()
  readonly #plans = new Map<ServiceId, ScalingPlan>()
  /** Token under which the orders were taken over; undefined while another instance holds the lease. */
  #term: FencingToken | undefined
  /** Whether the last orders have been read in this term. */
  #isResumed = false
  #isCalling = false
  #timer: Timer | undefined

  constructor (options: EndpointScalerOptions) {
    this.#options = options
    const { clock, log, table, channel } = options
    this.#row = new ScalingRow({ clock, log, table })
    this.#sender = new OrderSender({ clock, log, channel, permit: () => this.#permit() })
    options.lease.onChange(() => { this.#checkTerm() })
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
    return [...this.#plans].map(([service, { history: _history, ...plan }]) => ({ service, ...plan }))
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
    this.#histories.clear()
    this.#plans.clear()
  }

  #tick (): void {
    if (!this.#checkTerm()) return
    const planned = this.#planAll()
    if (this.#isResumed) this.#compareWithList(planned)
    if (!this.#isCalling) void this.#apply(planned)
    if (this.#isResumed) this.#sender.send()
  }

  #planAll (): readonly PlannedService[] {
    const planned: PlannedService[] = []
    for (const { id, scaling } of this.#options.services()) if (scaling !== undefined) planned.push(this.#plan(id, scaling))
    const services = new Set(planned.map(({ service }) => service))
    for (const service of this.#plans.keys()) {
      if (!services.has(service)) this.#forgetService(service)
    }
    return planned
  }

  #forgetService (service: ServiceId): void {
    this.#plans.delete(service)
    this.#histories.delete(service)
  }

  #plan (service: ServiceId, scaling: ScalingProfile): PlannedService {
    const { clock, loads, members, isMoving, coldTime = DEFAULT_COLD_TIME } = this.#options
    const input = {
      now: clock.now(),
      profile: scaling,
      coldTime,
      domains: this.#domainsOf(service),
      samples: loads.samples(service),
      members: members(),
      heard: loads.heardWithin(MAX_SAMPLE_AGE),
      isMoving: isMoving(service),
      history: this.#histories.get(service) ?? EMPTY_HISTORY
    }
    const plan = planEndpoints(input)
    this.#histories.set(service, plan.history)
    this.#noteHeld(service, plan)
    this.#plans.set(service, plan)
    return { service, scaling, input, plan }
  }

  #noteHeld (service: ServiceId, { reason, demand, needed }: ScalingPlan): void {
    if (!HELD_REASONS.has(reason) || this.#plans.get(service)?.reason === reason) return
    this.#options.log.emit(SCALING_EVENTS.scalingHeld, { service, reason, demand, needed })
  }

  #domainsOf (service: ServiceId): readonly DomainEndpoints[] {
    const { clock, endpoints, isDomainOut, concurrencyOf } = this.#options
    const { book, isOlder } = this.#row
    return domainEndpointsOf({
      now: clock.now(),
      endpoints: endpoints(service),
      isDomainOut,
      concurrencyOf,
      ordered: (domain) => book.get(service, domain),
      orderedDomains: book.domains(service),
      isOlder
    })
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
    const services = new Set(planned.map(({ service }) => service))
    this.#sender.retain(book.only(services).orders())
  }

  /** Reads the row if it must be, writes the orders that differ from it, and sends them once they are in the store. */
  async #apply (planned: readonly PlannedService[]): Promise<void> {
    if (!this.#row.canCall) return
    const term = this.#term
    this.#isCalling = true
    try {
      if (!this.#row.isRead) await this.#read(term)
      else if (this.#isResumed) await this.#write(planned, term)
    } finally {
      this.#isCalling = false
    }
  }

  async #read (term: FencingToken | undefined): Promise<void> {
    const isRead = await this.#row.read(this.#isResumed)
    if (this.#term !== term) return this.#row.forget()
    if (!isRead || this.#isResumed) return
    this.#isResumed = true
    this.#options.log.emit(SCALING_EVENTS.ordersResumed, { orders: this.#row.book.orders().length, isOlder: this.#row.isOlder })
  }

  /** Writes all wanted numbers if one differs from the orders in the store, and sends the ones that differ. */
  async #write (planned: readonly PlannedService[], term: FencingToken | undefined): Promise<void> {
    const { book, isOlder } = this.#row
    const wanted = planned.flatMap(({ service, plan }) => [...plan.endpoints].map(([domain, endpoints]) => ({ service, domain, endpoints })))
    const changes = planned.flatMap((service) => this.#changesOf(service))
    if (changes.length === 0 && !isOlder) return
    const isWritten = await this.#row.write(new OrderBook(wanted))
    if (this.#term !== term) return this.#row.forget()
    if (!isWritten) return
    for (const change of changes) {
      this.#noteOrder(change, book, planned)
      this.#sender.add(change)
    }
    this.#sender.send()
  }

  #changesOf ({ service, plan, input }: PlannedService): readonly EndpointOrder[] {
    const { book } = this.#row
    return input.domains.flatMap(({ domain, ordered }) => {
      const endpoints = plan.endpoints.get(domain) ?? ordered
      return endpoints === (book.get(service, domain) ?? ordered) ? [] : [{ service, domain, endpoints }]
    })
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

import type { Clock, DomainId, EventLog, Incarnation, Millis, ServiceId } from '@papayahill/common'
import type { Endpoint, ScalingProfile, ServiceProfile } from '@papayahill/directory'
import { DEFAULT_COLD_TIME, MAX_SAMPLE_AGE } from './constants.js'
import { domainEndpointsOf } from './domainEndpointsOf.js'
import { SCALING_EVENTS } from './events.js'
import type { LoadCollector } from './LoadCollector.js'
import type { OrderBook } from './OrderBook.js'
import { EMPTY_HISTORY, planEndpoints } from './planEndpoints.js'
import type { EndpointOrder, ScalingHistory, ScalingInput, ScalingPlan, ScalingReason } from './types.js'

export interface ServicePlannerOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly loads: Pick<LoadCollector, 'samples' | 'heardWithin' | 'receive'>
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
  readonly concurrencyOf?: ((endpoint: Endpoint) => number) | undefined
  /** Time for which a new endpoint is cold. */
  readonly coldTime?: Millis | undefined
}

/** A service and its last plan, for operators. */
export interface ScalingStatus extends Omit<ScalingPlan, 'history'> {
  readonly service: ServiceId
}

/** A plan with what it was made from. */
export interface PlannedService {
  readonly service: ServiceId
  readonly scaling: ScalingProfile
  readonly input: ScalingInput
  readonly plan: ScalingPlan
}

/** The orders that are in the store. */
export interface LastOrders {
  readonly book: OrderBook
  /** They may be older than the ones the platform follows. */
  readonly isOlder: boolean
}

const HELD_REASONS: ReadonlySet<ScalingReason> = new Set<ScalingReason>(['samples', 'move', 'booting'])

/** All orders of a plan. */
export const ordersOf = ({ service, plan }: PlannedService): readonly EndpointOrder[] =>
  [...plan.endpoints].map(([domain, endpoints]) => ({ service, domain, endpoints }))

/** The orders of a plan that differ from the last ones. */
export const changesOf = ({ service, plan, input }: PlannedService, book: OrderBook): readonly EndpointOrder[] =>
  input.domains.flatMap(({ domain, ordered }) => {
    const endpoints = plan.endpoints.get(domain) ?? ordered
    return endpoints === (book.get(service, domain) ?? ordered) ? [] : [{ service, domain, endpoints }]
  })

/**
 * Plans all services with ordered endpoints, and remembers what each plan needs of the ones before.
 *
 * @example
 * const planned = planner.plan({ book, isOlder: false })
 */
export class ServicePlanner {
  readonly #options: ServicePlannerOptions
  readonly #histories = new Map<ServiceId, ScalingHistory>()
  readonly #plans = new Map<ServiceId, ScalingPlan>()

  constructor (options: ServicePlannerOptions) {
    this.#options = options
  }

  /** The last plan of each service. */
  status (): readonly ScalingStatus[] {
    return [...this.#plans].map(([service, { history: _history, ...plan }]) => ({ service, ...plan }))
  }

  clear (): void {
    this.#histories.clear()
    this.#plans.clear()
  }

  plan (last: LastOrders): readonly PlannedService[] {
    const planned: PlannedService[] = []
    const heard = this.#options.loads.heardWithin(MAX_SAMPLE_AGE)
    for (const { id, scaling } of this.#options.services()) {
      if (scaling !== undefined) planned.push(this.#planOne(id, scaling, last, heard))
    }
    const services = new Set(planned.map(({ service }) => service))
    for (const service of [...this.#plans.keys()]) if (!services.has(service)) this.#forget(service)
    return planned
  }

  #forget (service: ServiceId): void {
    this.#plans.delete(service)
    this.#histories.delete(service)
  }

  #planOne (service: ServiceId, scaling: ScalingProfile, last: LastOrders, heard: ReadonlySet<Incarnation>): PlannedService {
    const { clock, loads, members, isMoving, coldTime = DEFAULT_COLD_TIME } = this.#options
    const input = {
      now: clock.now(),
      profile: scaling,
      coldTime,
      domains: this.#domainsOf(service, last),
      samples: loads.samples(service),
      members: members(),
      heard,
      isMoving: isMoving(service),
      history: this.#histories.get(service) ?? EMPTY_HISTORY
    }
    const plan = planEndpoints(input)
    this.#noteHeld(service, plan)
    this.#histories.set(service, plan.history)
    this.#plans.set(service, plan)
    return { service, scaling, input, plan }
  }

  #noteHeld (service: ServiceId, { reason, demand, needed }: ScalingPlan): void {
    if (!HELD_REASONS.has(reason) || this.#plans.get(service)?.reason === reason) return
    this.#options.log.emit(SCALING_EVENTS.scalingHeld, { service, reason, demand, needed })
  }

  #domainsOf (service: ServiceId, { book, isOlder }: LastOrders): ScalingInput['domains'] {
    const { clock, endpoints, isDomainOut, concurrencyOf } = this.#options
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
}

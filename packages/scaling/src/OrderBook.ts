import type { DomainId, ServiceId } from '@papayahill/common'
import type { EndpointOrder } from './types.js'

/**
 * The last orders by service and failure domain.
 *
 * @example
 * book.get(service, domain)
 */
export class OrderBook {
  readonly #orders = new Map<ServiceId, Map<DomainId, number>>()

  constructor (orders: Iterable<EndpointOrder> = []) {
    for (const order of orders) this.set(order)
  }

  get (service: ServiceId, domain: DomainId): number | undefined {
    return this.#orders.get(service)?.get(domain)
  }

  set ({ service, domain, endpoints }: EndpointOrder): void {
    const domains = this.#orders.get(service) ?? new Map<DomainId, number>()
    this.#orders.set(service, domains.set(domain, endpoints))
  }

  /** Failure domains in which endpoints of a service were ordered. */
  domains (service: ServiceId): readonly DomainId[] {
    return [...this.#orders.get(service)?.keys() ?? []]
  }

  /** All orders. */
  orders (): readonly EndpointOrder[] {
    return [...this.#orders].flatMap(([service, domains]) =>
      [...domains].map(([domain, endpoints]) => ({ service, domain, endpoints })))
  }

  /** A copy with some orders changed. */
  with (changes: Iterable<EndpointOrder>): OrderBook {
    const copy = new OrderBook(this.orders())
    for (const change of changes) copy.set(change)
    return copy
  }

  /** A copy with the orders of some services only. */
  only (services: ReadonlySet<ServiceId>): OrderBook {
    return new OrderBook(this.orders().filter(({ service }) => services.has(service)))
  }
}

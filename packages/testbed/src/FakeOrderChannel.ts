import type { EndpointId } from '@papayahill/common'
import type { Order, OrderChannel, OrderRefusal } from '@papayahill/orders'
import type { ListedEndpoint } from '@papayahill/stores'
import { Result } from 'true-myth'

/** Delivers orders and rejects a fencing token below the highest one that the endpoint has seen. */
export class FakeOrderChannel implements OrderChannel {
  readonly delivered: Order[] = []
  readonly #highest = new Map<EndpointId, number>()

  deliver (endpoint: ListedEndpoint, order: Order): Promise<Result<void, OrderRefusal>> {
    const highest = this.#highest.get(endpoint.id) ?? 0
    if (order.fence < highest) {
      return Promise.resolve(Result.err({ kind: 'old-fence', detail: `fencing token ${order.fence} is below ${highest}` }))
    }
    this.#highest.set(endpoint.id, order.fence)
    this.delivered.push(order)
    return Promise.resolve(Result.ok(undefined))
  }
}

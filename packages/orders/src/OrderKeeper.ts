import { millis, refusal } from '@papayahill/common'
import type { Clock, EndpointId, EventLog, Failure, Incarnation, InstanceId, Millis, ServiceId } from '@papayahill/common'
import type { InstanceList, TableService } from '@papayahill/platform'
import { Result } from 'true-myth'
import type { OrderAction, OrderChannel, Orders, OrderStatus } from './types.js'

export interface OrderKeeperOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly table: TableService
  /** Age of this instance's copy of the roster; Infinity before the first read. */
  readonly rosterAge: () => Millis
  readonly list: InstanceList
  readonly channel: OrderChannel
  /** Whether a service's endpoints refuse an old fencing number. */
  readonly checksFencing: (service: ServiceId) => boolean
  /** Time that the weight store needs between two loads. */
  readonly loadInterval?: Millis
  readonly log: EventLog
}

/**
 * Gives operators' orders to endpoints, each with a fencing number from the table service.
 *
 * @example
 * const orders = new OrderKeeper({ self, incarnation, clock, table, rosterAge, list, channel, checksFencing, log })
 * await orders.give(service, endpoint, { kind: 'load-model', model: 'guide-7b' })
 */
export class OrderKeeper implements Orders {
  readonly #options: OrderKeeperOptions
  readonly #statuses: OrderStatus[] = []

  constructor (options: OrderKeeperOptions) {
    this.#options = options
  }

  start (): void {}

  stop (): void {}

  async give (service: ServiceId, endpoint: EndpointId, action: OrderAction): Promise<Result<OrderStatus, Failure>> {
    void service
    void action
    void this.#options.loadInterval
    await this.#options.clock.sleep(millis(0))
    return Result.err(refusal('store-unavailable', `orders to ${endpoint} are not given yet`))
  }

  status (): readonly OrderStatus[] {
    return this.#statuses
  }
}

import { millis } from '@papayahill/common'
import type { Clock, EventLog, Millis } from '@papayahill/common'
import type { BatchCoordinator } from './BatchCoordinator.js'
import { MAX_SENDER_SILENCE, PRESENCE_CHECK_PERIOD } from './constants.js'
import type { CoordinatorRoster } from './CoordinatorRoster.js'
import { BATCHING_EVENTS } from './events.js'
import type { OrderSender, StageOrder } from './types.js'

export interface AcceptedOrdersOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly coordinator: Pick<BatchCoordinator, 'drop'>
  readonly roster: Pick<CoordinatorRoster, 'incarnationOf' | 'hasRestarted'>
}

/** An order of another instance that runs here. */
export interface AcceptedOrder {
  readonly from: OrderSender
  readonly order: StageOrder
  /** The last time at which its sender was known to be alive. */
  readonly presentAt: Millis
  /** Whether its sender has ended, so that nobody reads its results. */
  readonly isOrphaned: boolean
}

type MutableOrder = { -readonly [Field in keyof AcceptedOrder]: AcceptedOrder[Field] }

/**
 * Orders of other instances that run here. What is queued for an instance that has ended, or that was unreachable for so long
 * that it has given its orders up, is dropped: nobody would read the results.
 *
 * @example
 * const accepted = orders.add(sender, order)
 * if (accepted.isOrphaned) freeResults()
 */
export class AcceptedOrders {
  readonly #options: AcceptedOrdersOptions
  readonly #orders = new Set<MutableOrder>()

  constructor (options: AcceptedOrdersOptions) {
    this.#options = options
    options.clock.every(PRESENCE_CHECK_PERIOD, () => this.#checkSenders())
  }

  add (from: OrderSender, order: StageOrder): AcceptedOrder {
    const accepted: MutableOrder = { from, order, presentAt: this.#options.clock.now(), isOrphaned: false }
    this.#orders.add(accepted)
    return accepted
  }

  delete (order: AcceptedOrder): void {
    this.#orders.delete(order)
  }

  #checkSenders (): void {
    const { roster, clock } = this.#options
    for (const accepted of this.#orders) {
      if (roster.incarnationOf(accepted.from.id) === accepted.from.incarnation) accepted.presentAt = clock.now()
    }
    const orphaned = [...this.#orders].filter((accepted) => !accepted.isOrphaned && this.#hasEnded(accepted))
    for (const accepted of orphaned) accepted.isOrphaned = true
    if (orphaned.length > 0) this.#drop(orphaned)
  }

  #hasEnded ({ from, presentAt }: AcceptedOrder): boolean {
    const { roster, clock } = this.#options
    return roster.hasRestarted(from) || millis(clock.now() - presentAt) > MAX_SENDER_SILENCE
  }

  #drop (orphaned: readonly AcceptedOrder[]): void {
    const { coordinator, log } = this.#options
    const senders = [...new Set(orphaned.map(({ from }) => from.incarnation))]
    log.emit(BATCHING_EVENTS.ordersOrphaned, { orders: orphaned.length, from: senders.join(' ') })
    for (const { order } of orphaned) coordinator.drop(order.group, order.pieces[0]!.request)
  }
}

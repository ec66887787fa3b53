import { assertNever, millis } from '@papayahill/common'
import type { Clock, EventLog, Millis } from '@papayahill/common'
import type { DutyCallResult, Permit } from '@papayahill/duties'
import { MAX_CONCURRENT_ORDERS, MAX_ORDER_RETRY, MIN_ORDER_RETRY, REPEAT_MARGIN } from './constants.js'
import { SCALING_EVENTS } from './events.js'
import type { EndpointOrder, ScalingChannel } from './types.js'

export interface OrderSenderOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly channel: ScalingChannel
  /** Returns the token while the lease is held by this term. */
  readonly permit: Permit
}

/** What is wanted for one service and failure domain, and what the platform has accepted. */
interface Target {
  order: EndpointOrder
  accepted: number | undefined
  isUnderWay: boolean
  retryAt: Millis
  retry: Millis
  /** Since when the list shows another number than was accepted; undefined if it shows the same. */
  differsSince: Millis | undefined
}

/** Outcomes of orders since the start. */
export type OrderCounts = Readonly<Record<DutyCallResult['kind'], number>>

const keyOf = ({ service, domain }: EndpointOrder): string => `${service} ${domain}`

/**
 * Sends orders until the platform has accepted them, one at a time for each service and failure domain. An order that was
 * replaced before it was sent is never sent.
 *
 * @example
 * sender.set(order, listed, bootTime)
 * sender.send()
 */
export class OrderSender {
  readonly #options: OrderSenderOptions
  readonly #targets = new Map<string, Target>()
  readonly #counts: Record<DutyCallResult['kind'], number> = { accepted: 0, refused: 0, limited: 0, unsent: 0, unknown: 0 }
  #limitedUntil: Millis = millis(0)
  #underWay = 0

  constructor (options: OrderSenderOptions) {
    this.#options = options
  }

  get counts (): OrderCounts {
    return this.#counts
  }

  /** Drops all orders; those that wait for a connection lose their permit. */
  clear (): void {
    this.#targets.clear()
  }

  /** Drops the orders that are not listed. */
  retain (orders: Iterable<EndpointOrder>): void {
    const keys = new Set([...orders].map(keyOf))
    for (const key of this.#targets.keys()) if (!keys.has(key)) this.#targets.delete(key)
  }

  /**
   * Sets the order for a service and failure domain, with the number of endpoints that the list shows. An order of an
   * earlier holder is sent again only if the list shows another number, since it may not have arrived.
   */
  set (order: EndpointOrder, listed: number, bootTime: Millis): void {
    const known = this.#targets.get(keyOf(order))
    if (known === undefined) return this.#add(order, order.endpoints === listed ? listed : undefined)
    if (known.order.endpoints !== order.endpoints) this.#replace(known, order)
    this.#compare(known, listed, bootTime)
  }

  /** Sends a new order at once. */
  add (order: EndpointOrder): void {
    const known = this.#targets.get(keyOf(order))
    if (known === undefined) return this.#add(order, undefined)
    this.#replace(known, order)
  }

  #add (order: EndpointOrder, accepted: number | undefined): void {
    this.#targets.set(keyOf(order), {
      order, accepted, isUnderWay: false, retryAt: millis(0), retry: MIN_ORDER_RETRY, differsSince: undefined
    })
  }

  #replace (target: Target, order: EndpointOrder): void {
    Object.assign(target, { order, retryAt: millis(0), retry: MIN_ORDER_RETRY, differsSince: undefined })
  }

  /** Repeats an accepted order if the list shows another number for so long that the platform must have lost it. */
  #compare (target: Target, listed: number, bootTime: Millis): void {
    const now = this.#options.clock.now()
    if (target.accepted !== target.order.endpoints || listed === target.accepted) {
      target.differsSince = undefined
      return
    }
    target.differsSince ??= now
    if (now - target.differsSince < 2 * bootTime + REPEAT_MARGIN) return
    target.accepted = undefined
    target.differsSince = undefined
  }

  /** Sends the orders that are due. */
  send (): void {
    const now = this.#options.clock.now()
    if (now < this.#limitedUntil) return
    for (const target of this.#targets.values()) {
      if (this.#underWay >= MAX_CONCURRENT_ORDERS) return
      const isDue = target.accepted !== target.order.endpoints && !target.isUnderWay && now >= target.retryAt
      if (isDue) void this.#sendOne(target)
    }
  }

  async #sendOne (target: Target): Promise<void> {
    const { channel, permit } = this.#options
    const { order } = target
    const isCurrent = (): boolean => target.order === order && this.#targets.get(keyOf(order)) === target
    target.isUnderWay = true
    this.#underWay++
    const result = await channel.order(order, () => isCurrent() ? permit() : undefined)
      .catch((cause: unknown): DutyCallResult => ({ kind: 'unknown', detail: String(cause) }))
    target.isUnderWay = false
    this.#underWay--
    this.#counts[result.kind]++
    this.#settle(target, order, result)
    if (result.kind === 'accepted' || !isCurrent()) this.send()
  }

  #settle (target: Target, order: EndpointOrder, result: DutyCallResult): void {
    const { clock, log } = this.#options
    if (result.kind === 'accepted') {
      target.accepted = order.endpoints
      return log.emit(SCALING_EVENTS.orderAccepted, { ...order })
    }
    // The platform may have carried it out, so that what it had accepted before no longer counts.
    if (result.kind === 'unknown') target.accepted = undefined
    log.emit(SCALING_EVENTS.orderFailed, { ...order, kind: result.kind, detail: this.#detailOf(result) })
    if (result.kind === 'limited') this.#limitedUntil = millis(clock.now() + result.retryAfter)
    if (target.order !== order) return
    target.retryAt = millis(clock.now() + target.retry)
    target.retry = millis(Math.min(MAX_ORDER_RETRY, target.retry * 2))
  }

  #detailOf (result: Exclude<DutyCallResult, { readonly kind: 'accepted' }>): string {
    switch (result.kind) {
      case 'refused': return `status ${result.status}`
      case 'limited': return `again in ${result.retryAfter} ms`
      case 'unsent':
      case 'unknown': return result.detail
      default: return assertNever(result)
    }
  }
}

import { millis } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, Json, Millis } from '@papayahill/common'
import type { PeerError, Peers } from '@papayahill/peers'
import type { Result } from 'true-myth'
import { LOGGED_ACCEPT_WAIT, MAX_ACCEPT_SILENCE, PRESENCE_CHECK_PERIOD } from './constants.js'
import type { CoordinatorRoster } from './CoordinatorRoster.js'
import type { CoordinatorWaits, OfferedOrder } from './CoordinatorWaits.js'
import { BATCHING_EVENTS } from './events.js'
import { packMessage } from './orderMessages.js'
import type { OrderId, StageOrder } from './types.js'

/** Answer to an order from an instance that missed the message that this one stops, as after its own restart. */
export const LEAVING = 'leaving'
/** Answer to an order from an instance that has not learned yet that this one does not reach the endpoints. */
export const UNREACHED = 'unreached'

/** How an instance has answered an offered order. */
export type OfferAnswer =
  | { readonly kind: 'accepted', readonly backlogs: Json }
  /** The instance leaves the group to another one. */
  | { readonly kind: typeof LEAVING | typeof UNREACHED }
  /** It may have accepted the order: it has sent nothing since, or its link was closed. */
  | { readonly kind: 'silent' | 'unreachable', readonly detail: string }
  /** The pieces can no longer end in time. */
  | { readonly kind: 'late' }

export type NotKept = Exclude<OfferAnswer, { readonly kind: 'accepted' | 'late' }>

/** One try to have an order accepted. */
export interface Offer {
  readonly to: InstanceId
  /** Instances that may have accepted the order, though no answer of theirs has come. */
  readonly unheard: Set<InstanceId>
}

export interface OrderOffersOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly peers: Pick<Peers, 'ask' | 'isConnected' | 'send'>
  readonly roster: CoordinatorRoster
  readonly waits: CoordinatorWaits
}

const answerOf = (asked: Result<Json, PeerError>): OfferAnswer => {
  if (asked.isErr) return asked.error.kind === 'timeout' ? { kind: 'late' } : { kind: 'unreachable', detail: asked.error.detail }
  const { value } = asked
  return value === LEAVING || value === UNREACHED ? { kind: value } : { kind: 'accepted', backlogs: value }
}

/**
 * Offers orders to other instances, and tells the roster which of them do not keep what they are offered.
 *
 * @example
 * const answer = await offers.offer(coordinator, id, order)
 * if (answer.kind === 'late') offers.recall(coordinator, order)
 */
export class OrderOffers {
  readonly #options: OrderOffersOptions

  constructor (options: OrderOffersOptions) {
    this.#options = options
  }

  /**
   * Offers an order to an instance and waits for as long as that sends anything and the pieces have time: a slow one accepts it,
   * too, and the pieces would run twice if another one got them.
   */
  async offer (to: InstanceId, id: OrderId, order: StageOrder): Promise<OfferAnswer> {
    const { waits } = this.#options
    const offered = waits.begin(to)
    const answer = await this.#answerTo(offered, id, order)
    if (answer.kind === 'accepted') this.#noteAccepted(offered, order)
    waits.end(offered)
    return answer
  }

  /**
   * Excludes an instance that has not accepted an order, for as long as the cause may last. A link may be closed while the
   * instance is well, so it is suspected only if the order cannot be given to it once more.
   */
  noteNotKept ({ to, unheard }: Offer, order: StageOrder, answer: NotKept): void {
    const { roster } = this.#options
    if (answer.kind === 'silent' || answer.kind === 'unreachable') {
      if (unheard.has(to) || answer.kind === 'silent') this.#suspect(to, order, answer.detail)
      unheard.add(to)
      return
    }
    const incarnation = roster.incarnationOf(to)
    if (incarnation === undefined) return
    if (answer.kind === LEAVING) roster.markLeaving(incarnation)
    else roster.markUnreached(incarnation, order.group)
  }

  /** Has an instance give back what it may have queued of an order that is given once more, or not at all. */
  recall (to: InstanceId, { group, pieces }: StageOrder): void {
    const { clock, peers } = this.#options
    peers.send(to, 'stage', packMessage({ kind: 'recall', group, request: pieces[0]!.request }, clock.now()))
  }

  #noteAccepted (offered: OfferedOrder, order: StageOrder): void {
    const { waits, log } = this.#options
    const waitMs = waits.accepted(offered)
    const { request, stage } = order.pieces[0]!
    const fields = { request, stage, group: order.group, gatherer: offered.to, waitMs }
    if (waitMs >= LOGGED_ACCEPT_WAIT) log.emit(BATCHING_EVENTS.orderAcceptedLate, fields)
  }

  async #answerTo ({ to, offeredAt }: OfferedOrder, id: OrderId, order: StageOrder): Promise<OfferAnswer> {
    const { clock, peers } = this.#options
    const timeout = millis(order.pieces[0]!.deadline - offeredAt)
    return await new Promise((resolve) => {
      const timer = clock.every(PRESENCE_CHECK_PERIOD, () => {
        const silence = this.#silenceSince(offeredAt, to)
        if (silence >= MAX_ACCEPT_SILENCE) end({ kind: 'silent', detail: `${to} has sent nothing for ${silence} ms` })
      })
      const end = (answer: OfferAnswer): void => {
        timer.cancel()
        resolve(answer)
      }
      void peers.ask(to, 'stage', packMessage({ kind: 'order', id, order }, offeredAt), timeout).then((asked) => end(answerOf(asked)))
    })
  }

  /** Time since an instance has sent anything, at most that since the given time. */
  #silenceSince (since: Millis, id: InstanceId): Millis {
    const { clock, peers, roster } = this.#options
    const elapsed = clock.now() - since
    return millis(peers.isConnected(id) ? Math.min(elapsed, roster.silenceOf(id) ?? Infinity) : elapsed)
  }

  #suspect (to: InstanceId, order: StageOrder, detail: string): void {
    const { log, peers, roster } = this.#options
    const fields = { gatherer: to, request: order.pieces[0]!.request, detail, silenceMs: roster.silenceOf(to) }
    roster.suspect(to)
    log.emit(BATCHING_EVENTS.gathererSuspected, fields)
    if (peers.isConnected(to)) this.recall(to, order)
  }
}

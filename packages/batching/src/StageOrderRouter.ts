import { brand, millis } from '@papayahill/common'
import type { Clock, EndpointId, EventLog, Incarnation, InstanceId, Json, LoopDelay, Millis } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { BacklogTracker } from './BacklogTracker.js'
import { PRESENCE_CHECK_PERIOD, REORDER_PERIOD } from './constants.js'
import { BATCHING_EVENTS } from './events.js'
import { AcceptedOrders } from './AcceptedOrders.js'
import type { BatchCoordinator } from './BatchCoordinator.js'
import type { CoordinatorRoster } from './CoordinatorRoster.js'
import type { CoordinatorWaits } from './CoordinatorWaits.js'
import { LEAVING, OrderOffers, UNREACHED } from './OrderOffers.js'
import type { Offer } from './OrderOffers.js'
import { packBacklogs, packMessage, unpackBacklogs, unpackMessage } from './orderMessages.js'
import type { StageMessage } from './orderMessages.js'
import type { GroupLookup } from './endpointGroups.js'
import type { EndpointBacklog, GroupId, OrderId, OrderListener, OrderSender, Piece, PieceFault, PieceOutcome, StageOrder } from './types.js'

export interface StageOrderRouterOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly peers: Peers
  readonly coordinator: BatchCoordinator
  readonly roster: CoordinatorRoster
  readonly groups: GroupLookup
  readonly backlogs: BacklogTracker
  readonly waits: CoordinatorWaits
  readonly loopDelay: Pick<LoopDelay, 'current'>
}

interface OpenOrder {
  readonly to: InstanceId
  readonly order: StageOrder
  readonly listener: OrderListener
  readonly resolve: (outcomes: readonly PieceOutcome[]) => void
}

/** Sends orders to the instances that coordinate their groups, and returns the outcomes. */
export class StageOrderRouter {
  readonly #options: StageOrderRouterOptions
  readonly #openOrders = new Map<OrderId, OpenOrder>()
  readonly #offers: OrderOffers
  readonly #acceptedOrders: AcceptedOrders
  /** Orders that run here. */
  readonly #localOrders = new Set<StageOrder>()
  #orderCount = 0
  /** Monotonic time by which every request must be answered; infinite until this instance stops. */
  #endsAt: Millis = millis(Infinity)

  constructor (options: StageOrderRouterOptions) {
    this.#options = options
    this.#offers = new OrderOffers(options)
    this.#acceptedOrders = new AcceptedOrders(options)
    options.peers.handle('stage', (from, body, incarnation) => this.#receive(from, body, incarnation))
  }

  /**
   * Runs an order's pieces; all of them fail with `failed` if the coordinator becomes unreachable. Pieces that no instance has
   * kept are ordered again; each instance gets them once in {@link REORDER_PERIOD} at the most, so that they cannot go around
   * without end between instances that refuse at once.
   */
  async run (order: StageOrder, listener: OrderListener): Promise<readonly PieceOutcome[]> {
    const { clock, roster } = this.#options
    const outcomes = new Map<Piece, PieceOutcome>()
    const notBefore = new Map<InstanceId, Millis>()
    const unheard = new Set<InstanceId>()
    for (let left = order.pieces; left.length > 0; left = left.filter((piece) => isMoved(outcomes.get(piece)))) {
      const wait = (notBefore.get(roster.coordinatorOf(order.group)) ?? 0) - clock.now()
      if (wait > 0) await clock.sleep(millis(wait))
      const to = roster.coordinatorOf(order.group)
      notBefore.set(to, millis(clock.now() + REORDER_PERIOD))
      const found = await this.#runOnce({ to, unheard }, { ...order, pieces: left }, listener)
      left.forEach((piece, at) => outcomes.set(piece, found[at] ?? { fault: 'failed', endpoint: undefined }))
    }
    return order.pieces.map((piece) => outcomes.get(piece)!)
  }

  /** Runs the pieces at an instance; those that it has not kept fail with `moved`. */
  #runOnce (offer: Offer, given: StageOrder, listener: OrderListener): Promise<readonly PieceOutcome[]> {
    const { peers, log, clock } = this.#options
    const { to } = offer
    const order = this.#boundByStop(given)
    const first = order.pieces[0]!
    if (first.deadline <= clock.now()) return Promise.resolve(failAllPieces(order.pieces, 'late'))
    log.emit(BATCHING_EVENTS.piecesOrdered, {
      request: first.request, stage: first.stage, pieces: order.pieces.length, group: order.group, gatherer: to
    })
    return to === peers.self ? this.#runLocally(order, listener) : this.#runRemotely(offer, order, listener)
  }

  /** All requests must be answered by this time: pieces that are still queued are ordered again, with no more time than that. */
  endBy (endsAt: Millis): void {
    this.#endsAt = endsAt
    for (const { group, pieces } of this.#localOrders) this.#options.coordinator.drop(group, pieces[0]!.request)
    for (const { to, order } of this.#openOrders.values()) this.#offers.recall(to, order)
  }

  #boundByStop (order: StageOrder): StageOrder {
    if (this.#endsAt === Infinity) return order
    const bound = (piece: Piece): Piece => ({ ...piece, deadline: millis(Math.min(piece.deadline, this.#endsAt - piece.timeAfter)) })
    return { ...order, pieces: order.pieces.map(bound) }
  }

  /** Drops the queued pieces of a cancelled request. */
  cancel (group: GroupId, request: string): void {
    const to = this.#options.roster.coordinatorOf(group)
    if (to === this.#options.peers.self) this.#options.coordinator.cancel(group, request)
    else this.#send(to, { kind: 'cancel', group, request })
  }

  /** Releases results, so that their endpoint can free the memory. */
  free (endpoint: EndpointId, handles: readonly string[]): void {
    const { groups, roster, peers, coordinator } = this.#options
    const group = groups.groupOf(endpoint)
    if (group === undefined) return
    const to = roster.coordinatorOf(group)
    if (to === peers.self) coordinator.free(endpoint, handles)
    else this.#send(to, { kind: 'free', endpoint, handles })
  }

  /** Keeps links open to the coordinators of these endpoints, so that no order waits for a connection. */
  keepLinks (endpoints: Iterable<EndpointId>): void {
    const { groups, roster, peers } = this.#options
    const coordinators = [...endpoints].flatMap((endpoint) => {
      const group = groups.groupOf(endpoint)
      return group === undefined ? [] : [roster.coordinatorOf(group)]
    })
    peers.keepLinks(new Set(coordinators.filter((id) => id !== peers.self)))
  }

  /** Announces to all instances that this one stops coordinating. */
  leave (): void {
    this.#options.roster.leave()
    this.#options.peers.broadcast('stage', packMessage({ kind: 'leaving' }, this.#options.clock.now()))
  }

  async #runLocally (order: StageOrder, listener: OrderListener): Promise<readonly PieceOutcome[]> {
    this.#localOrders.add(order)
    const outcomes = await new Promise<readonly PieceOutcome[]>((resolve) => {
      this.#recordBacklogs(this.#options.coordinator.accept(order, listener, resolve))
    })
    this.#localOrders.delete(order)
    return outcomes
  }

  async #runRemotely (offer: Offer, order: StageOrder, listener: OrderListener): Promise<readonly PieceOutcome[]> {
    const { to, unheard } = offer
    const id = this.#nextId()
    const ended = new Promise<readonly PieceOutcome[]>((resolve) => {
      this.#openOrders.set(id, { to, order, listener, resolve })
    })
    if (unheard.has(to)) this.#offers.recall(to, order)
    const answer = await this.#offers.offer(to, id, order)
    if (answer.kind === 'accepted') {
      unheard.delete(to)
      this.#recordBacklogs(unpackBacklogs(answer.backlogs))
      return await this.#awaitOutcomes(id, to, ended, order)
    }
    this.#openOrders.delete(id)
    if (answer.kind === 'late') this.#offers.recall(to, order)
    else this.#offers.noteNotKept(offer, order, answer)
    return failAllPieces(order.pieces, answer.kind === 'late' ? 'late' : 'moved')
  }

  #nextId (): OrderId {
    return brand<OrderId>(`${this.#options.peers.incarnation}/${++this.#orderCount}`)
  }

  /** Waits for the outcomes; fails the order if its coordinator falls silent or restarts, or if the deadline passes. */
  async #awaitOutcomes (
    id: OrderId, to: InstanceId, ended: Promise<readonly PieceOutcome[]>, order: StageOrder
  ): Promise<readonly PieceOutcome[]> {
    const { clock, roster } = this.#options
    const { deadline } = order.pieces[0]!
    const acceptedBy = roster.incarnationOf(to)
    const timer = clock.every(PRESENCE_CHECK_PERIOD, () => {
      const isLost = !roster.isPresent(to) || acceptedBy === undefined || roster.hasRestarted({ id: to, incarnation: acceptedBy })
      if (!isLost && clock.now() <= deadline) return
      if (this.#options.peers.isConnected(to)) this.#offers.recall(to, order)
      this.#openOrders.get(id)?.resolve(failAllPieces(order.pieces, isLost ? 'failed' : 'late'))
    })
    const outcomes = await ended
    timer.cancel()
    this.#openOrders.delete(id)
    return outcomes
  }

  #receive (from: InstanceId, body: Json, incarnation: Incarnation): Json {
    const { clock, coordinator, loopDelay, roster } = this.#options
    // The time for which a message was unread must not be given to its order once more.
    const message = unpackMessage(body, millis(clock.now() - loopDelay.current))
    if (message?.kind === 'order') return this.#acceptOrder({ id: from, incarnation }, message.id, message.order)
    if (message?.kind === 'read') this.#handleRead(from, message.id)
    if (message?.kind === 'done') this.#handleDone(from, message)
    if (message?.kind === 'recall') coordinator.drop(message.group, message.request)
    if (message?.kind === 'cancel') coordinator.cancel(message.group, message.request)
    if (message?.kind === 'free') coordinator.free(message.endpoint, message.handles)
    if (message?.kind === 'leaving') roster.markLeaving(incarnation)
    return null
  }

  #acceptOrder (from: OrderSender, id: OrderId, order: StageOrder): Json {
    const { coordinator, roster } = this.#options
    if (roster.isLeaving) return LEAVING
    if (roster.mustLeave(order.group)) return UNREACHED
    const accepted = this.#acceptedOrders.add(from, order)
    const onInputsRead = (): void => this.#sendBack(from, { kind: 'read', id })
    return packBacklogs(coordinator.accept(order, { onInputsRead }, (outcomes) => {
      this.#acceptedOrders.delete(accepted)
      if (!accepted.isOrphaned && !roster.hasRestarted(from)) return this.#sendBack(from, { kind: 'done', id, outcomes })
      this.#freeResults(outcomes)
      this.#sendBack(from, { kind: 'done', id, outcomes: failAllPieces(order.pieces, 'moved') })
    }))
  }

  /** Sends a message about an order to the incarnation that gave it, if that has not ended. */
  #sendBack (to: OrderSender, message: StageMessage): void {
    if (!this.#options.roster.hasRestarted(to)) this.#send(to.id, message)
  }

  #handleRead (from: InstanceId, id: OrderId): void {
    const open = this.#openOrders.get(id)
    if (open?.to === from) open.listener.onInputsRead()
  }

  /** Resolves the order; results of an order that is no longer open are released at once. */
  #handleDone (from: InstanceId, { id, outcomes }: Extract<StageMessage, { kind: 'done' }>): void {
    const open = this.#openOrders.get(id)
    if (open?.to === from) return open.resolve(outcomes)
    this.#freeResults(outcomes)
  }

  #freeResults (outcomes: readonly PieceOutcome[]): void {
    for (const outcome of outcomes) if ('handle' in outcome) this.free(outcome.endpoint, [outcome.handle])
  }

  #recordBacklogs (backlogs: readonly EndpointBacklog[]): void {
    for (const { endpoint, backlog } of backlogs) this.#options.backlogs.record(endpoint, backlog)
  }

  #send (to: InstanceId, message: StageMessage): void {
    this.#options.peers.send(to, 'stage', packMessage(message, this.#options.clock.now()))
  }
}

const isMoved = (outcome: PieceOutcome | undefined): boolean =>
  outcome !== undefined && 'fault' in outcome && outcome.fault === 'moved'

const failAllPieces = (pieces: readonly Piece[], fault: PieceFault): readonly PieceOutcome[] =>
  pieces.map(() => ({ fault, endpoint: undefined }))

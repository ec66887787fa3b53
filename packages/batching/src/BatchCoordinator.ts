import type { Clock, EndpointId, EventLog } from '@papayahill/common'
import type { Endpoint, EndpointDirectory } from '@papayahill/directory'
import type { RequestLimits } from '@papayahill/limits'
import type { EndpointPerformance } from '@papayahill/performance'
import { EndpointCalls } from './EndpointCalls.js'
import { GroupBatcher } from './GroupBatcher.js'
import type { BatchCaller, EndpointBacklog, GroupId, OrderListener, PieceOutcome, ProfileOf, StageOrder } from './types.js'

export interface BatchCoordinatorOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly caller: BatchCaller
  readonly directory: EndpointDirectory
  readonly limits: RequestLimits
  readonly profileOf: ProfileOf
  /** How long batches take at each endpoint; the calls' own estimate alone is used if absent. */
  readonly performance?: EndpointPerformance
  /** Whether this instance coordinates the group. */
  readonly isOwn: (group: GroupId) => boolean
  /** Whether this instance leaves the group to another one, since it does not reach the endpoints; never, if absent. */
  readonly mustLeave?: (group: GroupId) => boolean
  /** Whether this instance has a path to the endpoint; always, if absent. */
  readonly reachesEndpoint?: (endpoint: Endpoint) => boolean
}

/**
 * Forms batches from the pieces of all instances, for the groups of endpoints that this instance coordinates.
 *
 * @example
 * const backlogs = coordinator.accept(order, listener, (outcomes) => answer(outcomes))
 */
export class BatchCoordinator {
  readonly #options: BatchCoordinatorOptions
  readonly #batchers = new Map<GroupId, GroupBatcher>()
  readonly #calls = new Map<EndpointId, EndpointCalls>()
  readonly #ownGroups = new Set<GroupId>()

  constructor (options: BatchCoordinatorOptions) {
    this.#options = options
    options.directory.onGone(({ id }) => this.#calls.delete(id))
  }

  /** Number of pieces queued here for a batch. */
  get waitingPieces (): number {
    return [...this.#batchers.values()].reduce((sum, batcher) => sum + batcher.size, 0)
  }

  /** Number of groups that are planned. */
  get groupCount (): number {
    return this.#batchers.size
  }

  /** Queues an order's pieces; returns the current backlogs of its endpoints. */
  accept (order: StageOrder, listener: OrderListener, onDone: (outcomes: readonly PieceOutcome[]) => void): readonly EndpointBacklog[] {
    const batcher = this.#batcherOf(order.group)
    const { places } = order
    const outcomes: PieceOutcome[] = []
    let unsettled = order.pieces.length
    const unread = new Set(order.pieces)
    order.pieces.forEach((piece, at) => batcher.add({
      piece,
      places,
      onInputsRead: () => { if (unread.delete(piece) && unread.size === 0) listener.onInputsRead() },
      settle: (outcome) => {
        outcomes[at] = outcome
        if (--unsettled === 0) onDone(outcomes)
      }
    }))
    batcher.pump()
    return batcher.backlogs(places.map(({ endpoint }) => endpoint))
  }

  /** Drops the queued pieces of a cancelled request. */
  cancel (group: GroupId, request: string): void {
    this.#batchers.get(group)?.cancel(request)
  }

  /** Gives the queued pieces of a request back to its instance. */
  drop (group: GroupId, request: string): void {
    this.#batchers.get(group)?.drop(request)
  }

  /** Releases results at the endpoint that holds them. */
  free (endpoint: EndpointId, handles: readonly string[]): void {
    this.#callsOf(endpoint)?.free(handles)
  }

  /** Plans all groups again, since endpoints may have become unusable and groups may have moved to other instances. */
  pumpAll (): void {
    for (const [group, batcher] of this.#batchers) {
      if (this.#hasLostGroup(group) || this.#options.mustLeave?.(group) === true) batcher.handBack()
      batcher.pump()
      if (batcher.isIdle) this.#forget(group)
    }
  }

  /** An idle group has nothing to plan; services and their groups come and go as long as the process lives. */
  #forget (group: GroupId): void {
    this.#batchers.delete(group)
    this.#ownGroups.delete(group)
  }

  /** Whether another instance has become the group's coordinator since the last check. */
  #hasLostGroup (group: GroupId): boolean {
    const isOwn = this.#options.isOwn(group)
    const wasOwn = this.#ownGroups.has(group)
    if (isOwn) this.#ownGroups.add(group)
    else this.#ownGroups.delete(group)
    return wasOwn && !isOwn
  }

  #batcherOf (group: GroupId): GroupBatcher {
    const known = this.#batchers.get(group)
    if (known !== undefined) return known
    const { clock, log, isOwn } = this.#options
    // An idle group was forgotten; it may move to another instance before the next check.
    if (isOwn(group)) this.#ownGroups.add(group)
    const batcher = new GroupBatcher({ clock, log, callsOf: (endpoint) => this.#usableCallsOf(endpoint) })
    this.#batchers.set(group, batcher)
    return batcher
  }

  #usableCallsOf (id: EndpointId): EndpointCalls | undefined {
    const { directory } = this.#options
    const endpoint = directory.get(id)
    if (endpoint === undefined || !directory.isUsable(endpoint) || this.#isPassedOver(endpoint)) return undefined
    return this.#callsOf(id)
  }

  /** Whether the endpoint gets no calls, since this instance reaches others of its service. */
  #isPassedOver (endpoint: Endpoint): boolean {
    const { directory, reachesEndpoint } = this.#options
    if (reachesEndpoint?.(endpoint) !== false) return false
    return directory.usable(endpoint.service).some((other) => reachesEndpoint(other))
  }

  /** Usually one group waits for an endpoint; just after a change of groups it can be several. */
  #pumpFor (endpoint: EndpointId): void {
    for (const batcher of this.#batchers.values()) if (batcher.waitsFor(endpoint)) batcher.pump()
  }

  #callsOf (id: EndpointId): EndpointCalls | undefined {
    const known = this.#calls.get(id)
    if (known !== undefined) return known
    const endpoint = this.#options.directory.get(id)
    if (endpoint === undefined) return undefined
    const { clock, log, caller, limits, profileOf, performance } = this.#options
    const calls = new EndpointCalls({
      clock,
      log,
      caller,
      endpoint,
      limits,
      performance,
      profile: () => profileOf(endpoint.service),
      onMemoryFreed: () => this.#pumpFor(id)
    })
    this.#calls.set(id, calls)
    return calls
  }
}

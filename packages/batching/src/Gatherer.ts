import type { Clock, EndpointId, EventLog, Millis } from '@papayahill/common'
import type { Endpoint, EndpointDirectory } from '@papayahill/directory'
import { EndpointBatcher } from './EndpointBatcher.js'
import type { BatchCaller, OrderListener, PieceOutcome, ProfileOf, StageOrder } from './types.js'

export interface GathererOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly caller: BatchCaller
  readonly directory: EndpointDirectory
  readonly profileOf: ProfileOf
  /** Whether the endpoint falls to this instance. */
  readonly isOwn: (endpoint: EndpointId) => boolean
}

/**
 * Gathers the pieces of all instances for the endpoints that fall to this one.
 *
 * @example
 * const backlog = gatherer.take(order, (outcomes) => answer(outcomes))
 */
export class Gatherer {
  readonly #options: GathererOptions
  readonly #batchers = new Map<EndpointId, EndpointBatcher>()
  readonly #own = new Set<EndpointId>()

  constructor (options: GathererOptions) {
    this.#options = options
    options.directory.onGone((endpoint) => this.#forget(endpoint))
  }

  /** Takes an order in; the time until its last piece is made, or undefined where the endpoint is not usable here. */
  take (order: StageOrder, listener: OrderListener, done: (outcomes: readonly PieceOutcome[]) => void): Millis | undefined {
    const batcher = this.#batcherOf(order.endpoint)
    if (batcher === undefined) return undefined
    const outcomes: PieceOutcome[] = []
    let open = order.pieces.length
    let unread = order.pieces.length
    order.pieces.forEach((piece, at) => batcher.add({
      piece,
      read: () => { if (--unread === 0) listener.read() },
      settle: (outcome) => {
        outcomes[at] = outcome
        if (--open === 0) done(outcomes)
      }
    }))
    batcher.pump()
    return batcher.backlog()
  }

  /** Drops the waiting pieces of a request that was given up. */
  cancel (endpoint: EndpointId, request: string): void {
    this.#batchers.get(endpoint)?.cancel(request)
  }

  free (endpoint: EndpointId, handles: readonly string[]): void {
    this.#batcherOf(endpoint)?.free(handles)
  }

  /** Looks at all endpoints again: some may not be used any more, some may have room, some may fall to others now. */
  pumpAll (): void {
    for (const [id, batcher] of this.#batchers) {
      if (this.#lost(id)) batcher.handBack()
      batcher.pump()
    }
  }

  /** Whether an endpoint fell to another instance since the last look. */
  #lost (id: EndpointId): boolean {
    const isOwn = this.#options.isOwn(id)
    const wasOwn = this.#own.has(id)
    if (isOwn) this.#own.add(id)
    else this.#own.delete(id)
    return wasOwn && !isOwn
  }

  #batcherOf (id: EndpointId): EndpointBatcher | undefined {
    const known = this.#batchers.get(id)
    if (known !== undefined) return known
    const endpoint = this.#options.directory.get(id)
    if (endpoint === undefined) return undefined
    const { clock, log, caller, directory, profileOf } = this.#options
    const batcher = new EndpointBatcher({
      clock,
      log,
      caller,
      endpoint,
      profile: () => profileOf(endpoint.service),
      isUsable: () => directory.usable(endpoint.service).includes(endpoint)
    })
    this.#batchers.set(id, batcher)
    return batcher
  }

  #forget (endpoint: Endpoint): void {
    const batcher = this.#batchers.get(endpoint.id)
    if (batcher === undefined) return
    this.#batchers.delete(endpoint.id)
    batcher.pump()
  }
}

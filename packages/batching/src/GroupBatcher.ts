import { millis } from '@papayahill/common'
import type { Clock, EndpointId, EventLog, Millis, Timer } from '@papayahill/common'
import { MAX_PLAN_AGE, PLAN_PERIOD } from './constants.js'
import type { EndpointCalls } from './EndpointCalls.js'
import { BATCHING_EVENTS } from './events.js'
import { planBatches } from './planBatches.js'
import type { BatchPlan, WaitingPiece } from './planBatches.js'
import type { EndpointBacklog, PieceFault } from './types.js'

export interface GroupBatcherOptions {
  readonly clock: Clock
  readonly log: EventLog
  /** The calls of an endpoint; undefined where it cannot accept new work. */
  readonly callsOf: (endpoint: EndpointId) => EndpointCalls | undefined
}

/**
 * Forms the batches of a group's endpoints from one queue: a request's pieces go to the endpoint that can finish them
 * soonest, and the choice is made only when a call begins. So batches grow with the load, no piece waits while an
 * endpoint is idle, and none waits behind a slow endpoint.
 *
 * @example
 * const batcher = new GroupBatcher({ clock, log, callsOf })
 * batcher.add({ piece, places, settle, onInputsRead })
 * batcher.pump()
 */
export class GroupBatcher {
  readonly #options: GroupBatcherOptions
  #waiting: WaitingPiece[] = []
  /** Batches that are in progress; their pieces may be queued again. */
  #openBatches = 0
  /** When each endpoint could begin a piece queued behind all others, as of the last plan. */
  #freeAt: ReadonlyMap<EndpointId, Millis> = new Map()
  #plannedAt: Millis | undefined
  #timer: Timer | undefined

  constructor (options: GroupBatcherOptions) {
    this.#options = options
  }

  /** Number of queued pieces. */
  get size (): number {
    return this.#waiting.length
  }

  /** Whether there is nothing queued or in progress. */
  get isIdle (): boolean {
    return this.#waiting.length === 0 && this.#openBatches === 0
  }

  add (waiting: WaitingPiece): void {
    this.#waiting.push(waiting)
  }

  waitsFor (endpoint: EndpointId): boolean {
    return this.#waiting.some(({ places }) => places.some((place) => place.endpoint === endpoint))
  }

  /** Drops the queued pieces of a cancelled request. */
  cancel (request: string): void {
    this.#settle(this.#waitingFor(request), 'late')
  }

  /** Gives the queued pieces of a request back to its instance, which may order them again. */
  drop (request: string): void {
    this.#settle(this.#waitingFor(request), 'moved')
  }

  /** Returns all queued pieces to their instances, since another one coordinates the group now. */
  handBack (): void {
    this.#settle(this.#waiting, 'moved')
  }

  /** Time until each of the endpoints could begin a piece that arrives now. */
  backlogs (endpoints: readonly EndpointId[]): readonly EndpointBacklog[] {
    const { clock, callsOf } = this.#options
    const now = clock.now()
    if (!this.#isPlanCurrent(now, MAX_PLAN_AGE)) this.#plan(now)
    return endpoints.flatMap((endpoint) => {
      const at = this.#freeAt.get(endpoint) ?? callsOf(endpoint)?.capacity()?.freeAt
      return at === undefined ? [] : [{ endpoint, backlog: millis(Math.max(0, at - now)) }]
    })
  }

  /** Sends queued pieces to endpoints that can accept them; keeps a current plan while no endpoint can. */
  pump (): void {
    const now = this.#options.clock.now()
    if (this.#isPlanCurrent(now, PLAN_PERIOD) && !this.#canBeginCall()) return
    this.#timer?.cancel()
    this.#timer = undefined
    const { batches, late, unplaced } = this.#plan(now)
    this.#settle(unplaced, 'unplaced')
    this.#dropLate(late)
    for (const [endpoint, batch] of batches) {
      this.#remove(batch)
      void this.#send(endpoint, batch)
    }
    if (this.#waiting.length === 0) return
    for (const endpoint of this.#candidateEndpoints()) this.#options.callsOf(endpoint)?.requestToken()
    this.#timer = this.#options.clock.after(PLAN_PERIOD, () => this.pump())
  }

  /** Whether the next plan is scheduled and the last one is younger than `age`. */
  #isPlanCurrent (now: Millis, age: number): boolean {
    return this.#timer !== undefined && this.#plannedAt !== undefined && now - this.#plannedAt < age
  }

  /** Whether a call can begin at any endpoint for which pieces are queued. */
  #canBeginCall (): boolean {
    const { callsOf } = this.#options
    for (const endpoint of this.#candidateEndpoints()) if (callsOf(endpoint)?.isAvailable === true) return true
    return false
  }

  #waitingFor (request: string): readonly WaitingPiece[] {
    return this.#waiting.filter(({ piece }) => piece.request === request)
  }

  #candidateEndpoints (): ReadonlySet<EndpointId> {
    const candidates = new Set<EndpointId>()
    let last: WaitingPiece['places'] | undefined
    for (const { places } of this.#waiting) {
      if (places === last) continue
      last = places
      for (const { endpoint } of places) candidates.add(endpoint)
    }
    return candidates
  }

  #plan (now: Millis): BatchPlan {
    const capacities = [...this.#candidateEndpoints()].map((endpoint) => this.#options.callsOf(endpoint)?.capacity())
    const plan = planBatches(this.#waiting, capacities.filter((capacity) => capacity !== undefined))
    this.#freeAt = plan.freeAt
    this.#plannedAt = now
    return plan
  }

  async #send (endpoint: EndpointId, batch: readonly WaitingPiece[]): Promise<void> {
    this.#openBatches++
    try {
      const retried = await this.#options.callsOf(endpoint)?.send(batch, this.#waiting.length)
      this.#waiting.push(...retried ?? batch)
    } finally {
      this.#openBatches--
    }
    this.pump()
  }

  #dropLate (late: readonly WaitingPiece[]): void {
    if (late.length === 0) return
    const { request, stage } = late[0]!.piece
    this.#options.log.emit(BATCHING_EVENTS.piecesDropped, { request, stage, pieces: late.length, waiting: this.#waiting.length })
    this.#settle(late, 'late')
  }

  #settle (pieces: readonly WaitingPiece[], fault: PieceFault): void {
    this.#remove(pieces)
    for (const waiting of pieces) waiting.settle({ fault, endpoint: undefined })
  }

  #remove (pieces: readonly WaitingPiece[]): void {
    if (pieces.length === 0) return
    const gone = new Set(pieces)
    this.#waiting = this.#waiting.filter((waiting) => !gone.has(waiting))
  }
}

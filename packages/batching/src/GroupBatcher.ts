import { millis } from '@papayahill/common'
import type { Clock, EndpointId, EventLog, Millis, Timer } from '@papayahill/common'
import { BACKLOG_AGE, PLAN_PERIOD } from './constants.js'
import type { EndpointCalls } from './EndpointCalls.js'
import { BATCHING_EVENTS } from './events.js'
import { planBatches } from './planBatches.js'
import type { BatchPlan, WaitingPiece } from './planBatches.js'
import type { EndpointBacklog, PieceFault } from './types.js'

export interface GroupBatcherOptions {
  readonly clock: Clock
  readonly log: EventLog
  /** The calls of an endpoint; undefined where it may not take new work. */
  readonly callsOf: (endpoint: EndpointId) => EndpointCalls | undefined
}

/**
 * Forms the batches of a group's endpoints from one queue: whichever can make a request's pieces soonest gets them,
 * and that is settled only as a call begins. So batches grow with the load, nothing waits while an endpoint is idle,
 * and nothing waits behind a slow one.
 *
 * @example
 * const batcher = new GroupBatcher({ clock, log, callsOf })
 * batcher.add({ piece, places, settle, read })
 * batcher.pump()
 */
export class GroupBatcher {
  readonly #options: GroupBatcherOptions
  #waiting: WaitingPiece[] = []
  /** When each endpoint could begin a piece that came behind all these, as of the last plan. */
  #freeAt: ReadonlyMap<EndpointId, Millis> = new Map()
  #plannedAt: Millis | undefined
  #timer: Timer | undefined

  constructor (options: GroupBatcherOptions) {
    this.#options = options
  }

  /** Pieces that wait. */
  get size (): number {
    return this.#waiting.length
  }

  add (waiting: WaitingPiece): void {
    this.#waiting.push(waiting)
  }

  waitsFor (endpoint: EndpointId): boolean {
    return this.#waiting.some(({ places }) => places.some((place) => place.endpoint === endpoint))
  }

  /** Gives back the pieces of a request that was given up. */
  cancel (request: string): void {
    this.#settle(this.#waiting.filter(({ piece }) => piece.request === request), 'late')
  }

  /** Another instance gathers from now on: what waits goes back to its owners. */
  handBack (): void {
    this.#settle(this.#waiting, 'moved')
  }

  /** Time until each of the endpoints could begin a piece that came now. */
  backlogs (endpoints: readonly EndpointId[]): readonly EndpointBacklog[] {
    const { clock, callsOf } = this.#options
    const now = clock.now()
    if (!this.#isPlanned(now, BACKLOG_AGE)) this.#plan(now)
    return endpoints.flatMap((endpoint) => {
      const at = this.#freeAt.get(endpoint) ?? callsOf(endpoint)?.pace()?.freeAt
      return at === undefined ? [] : [{ endpoint, backlog: millis(Math.max(0, at - now)) }]
    })
  }

  /** Sends what has gathered, where endpoints can take it; plans nothing anew while none can. */
  pump (): void {
    const now = this.#options.clock.now()
    if (this.#isPlanned(now, PLAN_PERIOD) && !this.#mayBegin()) return
    this.#timer?.cancel()
    this.#timer = undefined
    const { batches, late, unplaced } = this.#plan(now)
    this.#settle(unplaced, 'unplaced')
    this.#drop(late)
    for (const [endpoint, batch] of batches) {
      this.#remove(batch)
      void this.#send(endpoint, batch)
    }
    if (this.#waiting.length > 0) this.#timer = this.#options.clock.after(PLAN_PERIOD, () => this.pump())
  }

  /** Whether the next plan is due by its timer, and the last one is of late. */
  #isPlanned (now: Millis, age: number): boolean {
    return this.#timer !== undefined && this.#plannedAt !== undefined && now - this.#plannedAt < age
  }

  /** Whether a call can begin at any of the endpoints for which pieces wait. */
  #mayBegin (): boolean {
    const { callsOf } = this.#options
    for (const endpoint of this.#named()) if (callsOf(endpoint)?.isOpen === true) return true
    return false
  }

  #named (): ReadonlySet<EndpointId> {
    const named = new Set<EndpointId>()
    let last: WaitingPiece['places'] | undefined
    for (const { places } of this.#waiting) {
      if (places === last) continue
      last = places
      for (const { endpoint } of places) named.add(endpoint)
    }
    return named
  }

  #plan (now: Millis): BatchPlan {
    const paces = [...this.#named()].map((endpoint) => this.#options.callsOf(endpoint)?.pace())
    const plan = planBatches(this.#waiting, paces.filter((pace) => pace !== undefined))
    this.#freeAt = plan.freeAt
    this.#plannedAt = now
    return plan
  }

  async #send (endpoint: EndpointId, batch: readonly WaitingPiece[]): Promise<void> {
    const again = await this.#options.callsOf(endpoint)?.send(batch, this.#waiting.length)
    this.#waiting.push(...again ?? batch)
    this.pump()
  }

  #drop (late: readonly WaitingPiece[]): void {
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

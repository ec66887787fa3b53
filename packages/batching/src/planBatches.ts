import { millis } from '@papayahill/common'
import type { EndpointId, Millis } from '@papayahill/common'
import { DUE_MARGIN, HARMLESS_LOSSES, LOSS_DIVISOR, MAX_CALL_CHARACTERS, MAX_CALL_INPUTS, PRIORITY_STEP } from './constants.js'
import type { Piece, PieceOutcome, Place } from './types.js'

/** A piece in the queue. */
export interface WaitingPiece {
  readonly piece: Piece
  /** Endpoints that may run it. */
  readonly places: readonly Place[]
  readonly settle: (outcome: PieceOutcome) => void
  /** Called when the endpoint has read the piece's inputs. */
  readonly onInputsRead: () => void
}

/** How much an endpoint can accept, and how fast it works. */
export interface EndpointCapacity {
  readonly endpoint: EndpointId
  /** Whether a call may be sent now. */
  readonly isAvailable: boolean
  /** Monotonic time at which its next call can begin. */
  readonly freeAt: Millis
  /** Least time between the starts of two calls. */
  readonly spacing: Millis
  /** Max pieces of a call. */
  readonly maxPieces: number
  /** Bytes of results for which it has memory now. */
  readonly freeBytes: number
  /** Bytes of results for which it has memory when it holds none. */
  readonly totalBytes: number
  readonly callTime: Millis
  readonly pieceTime: Millis
}

export interface BatchPlan {
  /** Calls to be sent now. */
  readonly batches: ReadonlyMap<EndpointId, readonly WaitingPiece[]>
  /** Pieces that would end after their deadline. */
  readonly late: readonly WaitingPiece[]
  /** Pieces that none of the endpoints may run. */
  readonly unplaced: readonly WaitingPiece[]
  /** When each endpoint could begin a piece queued behind all these. */
  readonly freeAt: ReadonlyMap<EndpointId, Millis>
}

/** Earliest due time first, adjusted by the requests' priority. */
const byDueTime = ([{ piece: left }]: PieceGroup, [{ piece: right }]: PieceGroup): number =>
  left.due - right.due + (left.priority - right.priority) * PRIORITY_STEP

/** Latest due time first, adjusted by the requests' priority. */
const byLatestDueTime = ([{ piece: left }]: PieceGroup, [{ piece: right }]: PieceGroup): number =>
  right.due - left.due + (left.priority - right.priority) * PRIORITY_STEP

const byUrgency = ([{ piece: left }]: PieceGroup, [{ piece: right }]: PieceGroup): number =>
  left.priority - right.priority || left.deadline - right.deadline

/** Pieces of one stage of one request. */
type PieceGroup = readonly [WaitingPiece, ...WaitingPiece[]]

const isOfGroup = ([{ piece: first }]: PieceGroup, { piece }: WaitingPiece): boolean =>
  first.stage === piece.stage && first.request === piece.request

/** Groups pieces by stage and request, in the order of each group's first piece. Those of one order mostly wait side by side. */
const groupsOf = (waiting: readonly WaitingPiece[]): readonly PieceGroup[] => {
  const groups = new Map<string, [WaitingPiece, ...WaitingPiece[]]>()
  let last: [WaitingPiece, ...WaitingPiece[]] | undefined
  for (const waitingPiece of waiting) {
    if (last !== undefined && isOfGroup(last, waitingPiece)) {
      last.push(waitingPiece)
      continue
    }
    const key = `${waitingPiece.piece.stage} ${waitingPiece.piece.request}`
    const known = groups.get(key)
    last = known ?? [waitingPiece]
    if (known === undefined) groups.set(key, last)
    else known.push(waitingPiece)
  }
  return [...groups.values()]
}

/** The planned calls of one endpoint, one after the other. */
class PlannedCalls {
  readonly capacity: EndpointCapacity
  /** Pieces of the call that can be sent now. */
  readonly firstBatch: WaitingPiece[] = []
  #isFirst = true
  #startAt: Millis
  #filled = 0
  #freeBytes: number
  /** Most pieces of the current call. */
  #limit: number

  constructor (capacity: EndpointCapacity) {
    this.capacity = capacity
    this.#startAt = capacity.freeAt
    this.#freeBytes = capacity.freeBytes
    this.#limit = capacity.maxPieces
  }

  get id (): EndpointId {
    return this.capacity.endpoint
  }

  /** When the call after the current one can begin. */
  get #nextAt (): Millis {
    return millis(Math.max(this.#endTime(this.#startAt, this.#filled), this.#startAt + this.capacity.spacing))
  }

  /** When a piece behind all planned ones could begin. */
  get freeAt (): Millis {
    return this.#filled < this.capacity.maxPieces ? this.#startAt : this.#nextAt
  }

  /**
   * How many of a request's pieces fit into the current call. They are split between calls only where there is memory for
   * all of them, since the results of the first part occupy it until the rest has run.
   */
  fittingCount (pieces: readonly WaitingPiece[]): number {
    const fitInMemory = Math.max(0, Math.floor(this.#freeBytes / Math.max(1, pieces[0]!.piece.resultBytes)))
    const freePieceSlots = Math.max(0, Math.min(this.#limit, this.#limitFor(pieces[0]!)) - this.#filled)
    if (fitInMemory < pieces.length && this.#filled > 0) return 0
    const fitting = Math.min(freePieceSlots, fitInMemory, pieces.length)
    return this.#isFirst || this.#filled > 0 ? fitting : Math.max(1, fitting)
  }

  /** When the last of the pieces would end here. */
  endTimeOf (pieces: readonly WaitingPiece[]): Millis {
    if (this.fittingCount(pieces) === 0) return this.#endTime(this.#nextAt, pieces.length)
    return this.#endTime(this.#startAt, this.#filled + pieces.length)
  }

  /** When the last of the pieces would end here if their call were filled up with others. */
  fullCallEndTimeOf (pieces: readonly WaitingPiece[]): Millis {
    return this.#endTime(this.fittingCount(pieces) === 0 ? this.#nextAt : this.#startAt, this.capacity.maxPieces)
  }

  #endTime (startAt: Millis, pieces: number): Millis {
    return millis(startAt + this.capacity.callTime + pieces * this.capacity.pieceTime)
  }

  /** Adds as many of the pieces as fit into one call; returns their number. */
  add (pieces: readonly WaitingPiece[]): number {
    if (this.fittingCount(pieces) === 0) this.#startNextCall()
    const fitting = this.fittingCount(pieces)
    const added = pieces.slice(0, fitting)
    this.#limit = Math.min(this.#limit, this.#limitFor(pieces[0]!))
    if (this.#isFirst) this.firstBatch.push(...added)
    this.#filled += fitting
    this.#freeBytes -= fitting * pieces[0]!.piece.resultBytes
    return fitting
  }

  #startNextCall (): void {
    this.#startAt = this.#nextAt
    this.#isFirst = false
    this.#filled = 0
    this.#freeBytes = this.capacity.totalBytes
    this.#limit = this.capacity.maxPieces
  }

  /**
   * A piece that was lost with several calls shares its next one with few others, so that it takes few with it again. One with very
   * many inputs, or a long id, key or handles, does, too, since a call that lists them for each of its pieces takes more memory
   * than an instance has.
   */
  #limitFor ({ piece: { losses, inputs, callCharacters } }: WaitingPiece): number {
    const byLosses = this.capacity.maxPieces / LOSS_DIVISOR ** Math.max(0, losses - HARMLESS_LOSSES)
    const bySize = Math.min(MAX_CALL_INPUTS / Math.max(1, inputs.length), MAX_CALL_CHARACTERS / callCharacters)
    return Math.max(1, Math.floor(Math.min(byLosses, bySize)))
  }
}

/** Plans the calls of all endpoints, as pieces are placed one group after the other. */
class Planner {
  readonly late: WaitingPiece[] = []
  readonly unplaced: WaitingPiece[] = []
  readonly #callsByEndpoint: ReadonlyMap<EndpointId, PlannedCalls>

  constructor (capacities: readonly EndpointCapacity[]) {
    this.#callsByEndpoint = new Map(capacities.map((capacity) => [capacity.endpoint, new PlannedCalls(capacity)]))
  }

  get planned (): readonly PlannedCalls[] {
    return [...this.#callsByEndpoint.values()]
  }

  /** Whether a request's pieces can end by their due time, behind what is planned so far. */
  isInTime (group: PieceGroup): boolean {
    const calls = this.#soonestCalls(group)
    return calls === undefined || calls.fullCallEndTimeOf(group) + DUE_MARGIN <= group[0].piece.due
  }

  place (group: PieceGroup): void {
    const rest = [...group]
    while (rest.length > 0) {
      const calls = this.#soonestCalls(rest)
      if (calls === undefined) {
        this.unplaced.push(...rest)
        return
      }
      if (group[0].piece.deadline < calls.endTimeOf(rest)) {
        this.late.push(...rest)
        return
      }
      rest.splice(0, calls.add(rest))
    }
  }

  /** The endpoint that ends the pieces soonest, counting the delay for bytes that cross failure domains. */
  #soonestCalls (pieces: readonly WaitingPiece[]): PlannedCalls | undefined {
    let best: PlannedCalls | undefined
    let bestCost = Infinity
    for (const { endpoint, cost } of pieces[0]!.places) {
      const calls = this.#callsByEndpoint.get(endpoint)
      if (calls === undefined) continue
      const total = calls.endTimeOf(pieces) + cost * pieces.length
      if (total < bestCost) [best, bestCost] = [calls, total]
    }
    return best
  }
}

/** Places the groups that can end by their due time, in the order given; returns the others. */
const placeInTime = (planner: Planner, groups: readonly PieceGroup[]): readonly PieceGroup[] => {
  const deferred: PieceGroup[] = []
  for (const group of groups) {
    if (planner.isInTime(group)) planner.place(group)
    else deferred.push(group)
  }
  return deferred
}

/**
 * Plans the calls of a group's endpoints: each request's pieces go where they end soonest, earliest due time first.
 * Under overload, when some pieces cannot be in time that idle endpoints would finish in time, the latest due go first:
 * with the earliest first, each request would have no time left for the wait at its next stage, and all would miss their
 * targets in turn.
 * Pieces that cannot be in time yield to all that can, since an answer past its target is worth no less a little later.
 * Only calls that can begin now are sent; the rest is planned again together with the pieces that arrive until then.
 *
 * @example
 * const { batches, late } = planBatches(waiting, capacities)
 */
export const planBatches = (waiting: readonly WaitingPiece[], capacities: readonly EndpointCapacity[]): BatchPlan => {
  const groups = groupsOf(waiting).toSorted(byDueTime)
  const idlePlanner = new Planner(capacities)
  let planner = new Planner(capacities)
  let deferred = placeInTime(planner, groups)
  const isOverloaded = deferred.some((group) => idlePlanner.isInTime(group))
  if (isOverloaded) {
    planner = new Planner(capacities)
    deferred = placeInTime(planner, groups.toSorted(byLatestDueTime))
  }
  for (const group of deferred.toSorted(byUrgency)) planner.place(group)
  const { planned, late, unplaced } = planner
  const sent = planned.filter(({ capacity, firstBatch }) => capacity.isAvailable && firstBatch.length > 0)
  return {
    batches: new Map(sent.map((calls) => [calls.id, calls.firstBatch])),
    late,
    unplaced,
    freeAt: new Map(planned.map((calls) => [calls.id, calls.freeAt]))
  }
}

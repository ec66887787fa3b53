import { millis } from '@papayahill/common'
import type { EndpointId, Millis } from '@papayahill/common'
import { DUE_MARGIN, URGENCY_STEP } from './constants.js'
import type { Piece, PieceOutcome, Place } from './types.js'

/** A piece that waits for its batch. */
export interface WaitingPiece {
  readonly piece: Piece
  /** Endpoints that may make it. */
  readonly places: readonly Place[]
  readonly settle: (outcome: PieceOutcome) => void
  /** The endpoint has read the piece's inputs. */
  readonly read: () => void
}

/** What an endpoint can take, and how fast it works. */
export interface EndpointPace {
  readonly endpoint: EndpointId
  /** Whether a call may be sent now. */
  readonly isOpen: boolean
  /** Monotonic time at which its next call can begin. */
  readonly freeAt: Millis
  /** Most pieces of a call. */
  readonly size: number
  /** Bytes of results for which it has room now. */
  readonly room: number
  /** Bytes of results for which it has room when it holds none. */
  readonly wholeRoom: number
  readonly callTime: Millis
  readonly pieceTime: Millis
}

export interface BatchPlan {
  /** Calls to be sent now. */
  readonly batches: ReadonlyMap<EndpointId, readonly WaitingPiece[]>
  /** Pieces that would be made after their deadline. */
  readonly late: readonly WaitingPiece[]
  /** Pieces that none of the endpoints may make. */
  readonly unplaced: readonly WaitingPiece[]
  /** When each endpoint could begin a piece that came behind all these. */
  readonly freeAt: ReadonlyMap<EndpointId, Millis>
}

/** The earliest due first, with the requests' urgency weighed in. */
const byDue = ({ piece: left }: WaitingPiece, { piece: right }: WaitingPiece): number =>
  left.due - right.due + (left.priority - right.priority) * URGENCY_STEP

/** The latest due first, with the requests' urgency weighed in. */
const byLatestDue = ([{ piece: left }]: PieceGroup, [{ piece: right }]: PieceGroup): number =>
  right.due - left.due + (left.priority - right.priority) * URGENCY_STEP

const byUrgency = ([{ piece: left }]: PieceGroup, [{ piece: right }]: PieceGroup): number =>
  left.priority - right.priority || left.deadline - right.deadline

/** Pieces of one stage of one request. */
type PieceGroup = readonly [WaitingPiece, ...WaitingPiece[]]

/** Groups in the order of the first piece of each. */
const groupsOf = (waiting: readonly WaitingPiece[]): readonly PieceGroup[] => {
  const groups = new Map<string, [WaitingPiece, ...WaitingPiece[]]>()
  for (const one of waiting) {
    const name = `${one.piece.stage} ${one.piece.request}`
    const group = groups.get(name)
    if (group === undefined) groups.set(name, [one])
    else group.push(one)
  }
  return [...groups.values()]
}

/** The calls of one endpoint one after the other, as they are planned. */
class PlannedCalls {
  readonly pace: EndpointPace
  /** Pieces of the call that can be sent now. */
  readonly first: WaitingPiece[] = []
  #isFirst = true
  #startAt: Millis
  #taken = 0
  #room: number

  constructor (pace: EndpointPace) {
    this.pace = pace
    this.#startAt = pace.freeAt
    this.#room = pace.room
  }

  get id (): EndpointId {
    return this.pace.endpoint
  }

  /** When the call after the one that is being filled can begin. */
  get #nextAt (): Millis {
    return this.#endOf(this.#startAt, this.#taken)
  }

  /** When a piece behind all these could begin. */
  get freeAt (): Millis {
    return this.#taken < this.pace.size ? this.#startAt : this.#nextAt
  }

  /**
   * How many of a request's pieces go into the call that is being filled. They are parted only where there is room
   * for all of them: results of a part would take it up until the rest is made.
   */
  fits (pieces: readonly WaitingPiece[]): number {
    const roomFor = Math.max(0, Math.floor(this.#room / Math.max(1, pieces[0]!.piece.resultBytes)))
    const free = this.pace.size - this.#taken
    if (roomFor < pieces.length && this.#taken > 0) return 0
    const fits = Math.min(free, roomFor, pieces.length)
    return this.#isFirst || this.#taken > 0 ? fits : Math.max(1, fits)
  }

  /** When the last of the pieces would be made here. */
  endOf (pieces: readonly WaitingPiece[]): Millis {
    if (this.fits(pieces) === 0) return this.#endOf(this.#nextAt, pieces.length)
    return this.#endOf(this.#startAt, this.#taken + pieces.length)
  }

  /** When the last of the pieces would be made here if their call were filled up with others. */
  fullEndOf (pieces: readonly WaitingPiece[]): Millis {
    return this.#endOf(this.fits(pieces) === 0 ? this.#nextAt : this.#startAt, this.pace.size)
  }

  #endOf (startAt: Millis, pieces: number): Millis {
    return millis(startAt + this.pace.callTime + pieces * this.pace.pieceTime)
  }

  /** Plans as many of the pieces as go into one call; their number. */
  take (pieces: readonly WaitingPiece[]): number {
    if (this.fits(pieces) === 0) this.#nextCall()
    const fits = this.fits(pieces)
    const taken = pieces.slice(0, fits)
    if (this.#isFirst) this.first.push(...taken)
    this.#taken += fits
    this.#room -= taken.reduce((sum, { piece }) => sum + piece.resultBytes, 0)
    return fits
  }

  #nextCall (): void {
    this.#startAt = this.#nextAt
    this.#isFirst = false
    this.#taken = 0
    this.#room = this.pace.wholeRoom
  }
}

/** The calls of all endpoints, as pieces are added to them in the order of their rank. */
class Planner {
  readonly late: WaitingPiece[] = []
  readonly unplaced: WaitingPiece[] = []
  readonly #all: ReadonlyMap<EndpointId, PlannedCalls>

  constructor (paces: readonly EndpointPace[]) {
    this.#all = new Map(paces.map((pace) => [pace.endpoint, new PlannedCalls(pace)]))
  }

  get planned (): readonly PlannedCalls[] {
    return [...this.#all.values()]
  }

  /** Whether a request's pieces can be made by the time at which they are due, behind what is planned so far. */
  isInTime (group: PieceGroup): boolean {
    const calls = this.#soonest(group)
    return calls === undefined || calls.fullEndOf(group) + DUE_MARGIN <= group[0].piece.due
  }

  place (group: PieceGroup): void {
    let rest: readonly WaitingPiece[] = group
    while (rest.length > 0) {
      const calls = this.#soonest(rest)
      if (calls === undefined) {
        this.unplaced.push(...rest)
        return
      }
      if (group[0].piece.deadline < calls.endOf(rest)) {
        this.late.push(...rest)
        return
      }
      rest = rest.slice(calls.take(rest))
    }
  }

  /** The endpoint that makes the pieces soonest, with the cost of bytes that cross domains weighed in. */
  #soonest (pieces: readonly WaitingPiece[]): PlannedCalls | undefined {
    let best: PlannedCalls | undefined
    let bestCost = Infinity
    for (const { endpoint, cost } of pieces[0]!.places) {
      const calls = this.#all.get(endpoint)
      if (calls === undefined) continue
      const whole = calls.endOf(pieces) + cost * pieces.length
      if (whole < bestCost) [best, bestCost] = [calls, whole]
    }
    return best
  }
}

/** Places what can be made by its due time, in the order given; the others are given back. */
const placeInTime = (planner: Planner, groups: readonly PieceGroup[]): readonly PieceGroup[] => {
  const behind: PieceGroup[] = []
  for (const group of groups) {
    if (planner.isInTime(group)) planner.place(group)
    else behind.push(group)
  }
  return behind
}

/**
 * Plans the calls of a group's endpoints: each request's pieces go where they are made soonest, the earliest due first.
 * Where not all can be made that are in reach of their due times, the latest due go first: were the earliest served, each
 * would leave with no time for the wait at its next stage, and all would miss their targets in turn. Those that cannot
 * be made when they are due give way to all that can, since an answer past its target is worth the same a little later.
 * Only what can begin now is settled; the rest is planned anew with whatever has come by then.
 *
 * @example
 * const { batches, late } = planBatches(waiting, paces)
 */
export const planBatches = (waiting: readonly WaitingPiece[], paces: readonly EndpointPace[]): BatchPlan => {
  const groups = groupsOf([...waiting].sort(byDue))
  const idle = new Planner(paces)
  let planner = new Planner(paces)
  let behind = placeInTime(planner, groups)
  const isOverloaded = behind.some((group) => idle.isInTime(group))
  if (isOverloaded) {
    planner = new Planner(paces)
    behind = placeInTime(planner, groups.toSorted(byLatestDue))
  }
  for (const group of behind.toSorted(byUrgency)) planner.place(group)
  const { planned, late, unplaced } = planner
  const sent = planned.filter(({ pace, first }) => pace.isOpen && first.length > 0)
  return {
    batches: new Map(sent.map((calls) => [calls.id, calls.first])),
    late,
    unplaced,
    freeAt: new Map(planned.map((calls) => [calls.id, calls.freeAt]))
  }
}

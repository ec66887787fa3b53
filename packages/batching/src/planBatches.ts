import { millis } from '@papayahill/common'
import type { EndpointId, Millis } from '@papayahill/common'
import { URGENCY_STEP } from './constants.js'
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

/** Whether a piece gives way to others: its request cannot meet its target any more. */
const givesWay = ({ piece }: WaitingPiece, now: Millis, least: Millis): boolean => piece.due < now + least

/** When a piece is due, with its request's urgency weighed in. */
const rankOf = ({ piece }: WaitingPiece): number => piece.due + piece.priority * URGENCY_STEP

/** The earliest due first; behind them those that give way, by urgency. */
const compare = (now: Millis, least: Millis) => (left: WaitingPiece, right: WaitingPiece): number => {
  const isLeftBehind = givesWay(left, now, least)
  const isRightBehind = givesWay(right, now, least)
  if (isLeftBehind !== isRightBehind) return isLeftBehind ? 1 : -1
  if (!isLeftBehind) return rankOf(left) - rankOf(right)
  return left.piece.priority - right.piece.priority || left.piece.deadline - right.piece.deadline
}

/** Pieces of one stage of one request, in the order of the first of each. */
const groupsOf = (waiting: readonly WaitingPiece[]): readonly WaitingPiece[][] => {
  const groups = new Map<string, WaitingPiece[]>()
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
    const { callTime, pieceTime } = this.pace
    return millis(this.#startAt + callTime + this.#taken * pieceTime)
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
    const { callTime, pieceTime } = this.pace
    const fits = this.fits(pieces)
    if (fits === 0) return millis(this.#nextAt + callTime + pieces.length * pieceTime)
    return millis(this.#startAt + callTime + (this.#taken + pieces.length) * pieceTime)
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

/** The endpoint that makes the pieces soonest, with the cost of bytes that cross domains weighed in. */
const soonest = (pieces: readonly WaitingPiece[], all: ReadonlyMap<EndpointId, PlannedCalls>): PlannedCalls | undefined => {
  let best: PlannedCalls | undefined
  let bestCost = Infinity
  for (const { endpoint, cost } of pieces[0]!.places) {
    const calls = all.get(endpoint)
    if (calls === undefined) continue
    const whole = calls.endOf(pieces) + cost * pieces.length
    if (whole < bestCost) [best, bestCost] = [calls, whole]
  }
  return best
}

/**
 * Plans the calls of a group's endpoints: each request's pieces go where they are made soonest. Only what can begin
 * now is settled; the rest is planned anew with whatever has come by then.
 *
 * @example
 * const { batches, late } = planBatches(now, waiting, paces)
 */
export const planBatches = (now: Millis, waiting: readonly WaitingPiece[], paces: readonly EndpointPace[]): BatchPlan => {
  const all = new Map(paces.map((pace) => [pace.endpoint, new PlannedCalls(pace)]))
  const least = millis(Math.min(Infinity, ...paces.map(({ callTime }) => callTime)))
  const late: WaitingPiece[] = []
  const unplaced: WaitingPiece[] = []
  for (const group of groupsOf([...waiting].sort(compare(now, least)))) {
    let rest: readonly WaitingPiece[] = group
    while (rest.length > 0) {
      const calls = soonest(rest, all)
      const isLate = calls !== undefined && rest[0]!.piece.deadline < calls.endOf(rest)
      if (calls === undefined || isLate) {
        (isLate ? late : unplaced).push(...rest)
        break
      }
      rest = rest.slice(calls.take(rest))
    }
  }
  const planned = [...all.values()]
  const sent = planned.filter(({ pace, first }) => pace.isOpen && first.length > 0)
  return {
    batches: new Map(sent.map((calls) => [calls.id, calls.first])),
    late,
    unplaced,
    freeAt: new Map(planned.map((calls) => [calls.id, calls.freeAt]))
  }
}

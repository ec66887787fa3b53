import type { Millis } from '@papayahill/common'
import type { Piece, PieceOutcome } from './types.js'

/** A piece that waits for its batch. */
export interface WaitingPiece {
  readonly piece: Piece
  readonly settle: (outcome: PieceOutcome) => void
  /** The endpoint has read the piece's inputs. */
  readonly read: () => void
}

/** Whether a piece gives way to others: its request cannot meet its target any more. */
const givesWay = ({ piece }: WaitingPiece, now: Millis, least: Millis): boolean => piece.due < now + least

/** The earliest due first; behind them those that give way, by urgency. */
const compare = (now: Millis, least: Millis) => (left: WaitingPiece, right: WaitingPiece): number => {
  const isLeftBehind = givesWay(left, now, least)
  const isRightBehind = givesWay(right, now, least)
  if (isLeftBehind !== isRightBehind) return isLeftBehind ? 1 : -1
  if (!isLeftBehind) return left.piece.due - right.piece.due
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

/** How fast an endpoint works through its queue. */
export interface QueuePace {
  /** Monotonic time at which the next batch can begin. */
  readonly freeAt: Millis
  readonly size: number
  readonly callTime: Millis
  readonly pieceTime: Millis
}

/** When the piece behind so many others is made, in batches as full as can be. */
const endOf = (ahead: number, { freeAt, size, callTime, pieceTime }: QueuePace): number => {
  const calls = Math.floor(ahead / size) + 1
  return freeAt + calls * callTime + (ahead + 1) * pieceTime
}

export interface BatchLimits {
  readonly size: number
  /** Bytes of results that the endpoint has room for. */
  readonly room: number
  /** Least time that a call takes. */
  readonly callTime: Millis
}

/**
 * Pieces that wait for one endpoint, of all requests.
 *
 * @example
 * queue.add({ piece, settle })
 * const batch = queue.take(now, { size: 7, room, callTime })
 */
export class BatchQueue {
  #waiting: WaitingPiece[] = []

  get size (): number {
    return this.#waiting.length
  }

  add (waiting: WaitingPiece): void {
    this.#waiting.push(waiting)
  }

  /** Takes out pieces that would be made too late, were all that wait before them made first. */
  expire (now: Millis, pace: QueuePace): readonly WaitingPiece[] {
    this.#waiting.sort(compare(now, pace.callTime))
    const late = new Set<WaitingPiece>()
    let ahead = 0
    for (const waiting of this.#waiting) {
      if (waiting.piece.deadline < endOf(ahead, pace)) late.add(waiting)
      else ahead++
    }
    return late.size === 0 ? [] : this.#extract((waiting) => late.has(waiting))
  }

  /** Takes out the pieces of a request that was given up. */
  cancel (request: string): readonly WaitingPiece[] {
    return this.#extract(({ piece }) => piece.request === request)
  }

  takeAll (): readonly WaitingPiece[] {
    return this.#extract(() => true)
  }

  /**
   * The next batch, as large as endpoint and room allow. A request's pieces are parted only where there is room for
   * all of them: results of a part would take it up until the rest is made.
   */
  take (now: Millis, limits: BatchLimits): readonly WaitingPiece[] {
    this.#waiting.sort(compare(now, limits.callTime))
    const batch: WaitingPiece[] = []
    let { room } = limits
    for (const group of groupsOf(this.#waiting)) {
      const free = limits.size - batch.length
      if (free === 0) break
      const roomFor = Math.floor(room / Math.max(1, group[0]!.piece.resultBytes))
      if (roomFor < group.length && batch.length > 0) continue
      const taken = group.slice(0, Math.min(free, roomFor))
      room -= taken.reduce((sum, { piece }) => sum + piece.resultBytes, 0)
      batch.push(...taken)
    }
    const taken = new Set(batch)
    this.#waiting = this.#waiting.filter((waiting) => !taken.has(waiting))
    return batch
  }

  #extract (isWanted: (waiting: WaitingPiece) => boolean): readonly WaitingPiece[] {
    const wanted = this.#waiting.filter(isWanted)
    if (wanted.length > 0) this.#waiting = this.#waiting.filter((waiting) => !isWanted(waiting))
    return wanted
  }
}

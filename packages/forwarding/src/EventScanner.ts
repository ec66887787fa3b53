import { ByteCollector } from '@papayahill/common'
import { MAX_EVENT_SIZE } from './constants.js'

const NEW_LINE = 0x0a
const CARRIAGE_RETURN = 0x0d
/** Bytes of the longest end of an event that may have come before the rest of it. */
const SPLIT_END = 2
/** Length of the shortest event that has an id. */
const MIN_EVENT_WITH_ID = 5

/** Decides by the id of an event, which is undefined if it has none, whether it is relayed. */
export type EventFilter = (id: string | undefined) => boolean

/** End of the first event, after its blank line, that ends after `from`; -1 if there is none. */
const endOfEvent = (data: Buffer, from: number): number => {
  for (let at = data.indexOf(NEW_LINE, from); at >= 0; at = data.indexOf(NEW_LINE, at + 1)) {
    if (data[at + 1] === NEW_LINE) return at + 2
    if (data[at + 1] === CARRIAGE_RETURN && data[at + 2] === NEW_LINE) return at + 3
  }
  return -1
}

const idOf = (data: Buffer, start: number, end: number): string | undefined =>
  end - start < MIN_EVENT_WITH_ID ? undefined : /^id:[ ]?([^\r\n]*)/m.exec(data.toString('latin1', start, end))?.[1]

/**
 * Finds the complete events of a byte stream; an incomplete event at the end is kept until its rest comes.
 *
 * @example
 * scanner.feed(chunk, (id) => id !== '2') // the bytes of all complete events but one
 */
export class EventScanner {
  readonly #pending = new ByteCollector()
  /** Bytes of the incomplete event in which no end was found. */
  #scanned = 0

  /** Whether the bytes so far end within an event. */
  get hasPartialEvent (): boolean {
    return this.#pending.size > 0
  }

  /** Whether an incomplete event exceeds the buffer limit. */
  get isOversized (): boolean {
    return this.#pending.size > MAX_EVENT_SIZE
  }

  /**
   * The complete events that the filter accepts, byte for byte. Those that follow each other are one piece: as pieces of their
   * own, events of a few bytes would each cost hundreds until they are written.
   */
  feed (chunk: Buffer, accepts: EventFilter): readonly Buffer[] {
    const data = this.#withPending(chunk)
    const pieces: Buffer[] = []
    let pieceStart = 0
    let start = 0
    for (let end = endOfEvent(data, this.#scanned); end >= 0; end = endOfEvent(data, start)) {
      if (!accepts(idOf(data, start, end))) {
        if (start > pieceStart) pieces.push(data.subarray(pieceStart, start))
        pieceStart = end
      }
      start = end
    }
    if (start > pieceStart) pieces.push(data.subarray(pieceStart, start))
    this.#keepRest(data, start)
    return pieces
  }

  /** The chunk behind the incomplete event before it. */
  #withPending (chunk: Buffer): Buffer {
    if (this.#pending.size === 0) return chunk
    this.#pending.add(chunk)
    return this.#pending.bytes
  }

  #keepRest (data: Buffer, start: number): void {
    const isUnchanged = start === 0 && this.#pending.size > 0
    if (!isUnchanged) {
      this.#pending.take()
      this.#pending.add(data.subarray(start))
    }
    this.#scanned = Math.max(0, this.#pending.size - SPLIT_END)
  }
}

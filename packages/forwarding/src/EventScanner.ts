import { MAX_EVENT } from './constants.js'

const NEW_LINE = 0x0a
const CARRIAGE_RETURN = 0x0d

/** One whole event of a stream, byte for byte. */
export interface StreamEvent {
  readonly bytes: Buffer
  readonly id: string | undefined
}

/** Where the first event in the bytes ends: behind its blank line. */
const endOfEvent = (data: Buffer): number => {
  for (let at = data.indexOf(NEW_LINE); at >= 0; at = data.indexOf(NEW_LINE, at + 1)) {
    if (data[at + 1] === NEW_LINE) return at + 2
    if (data[at + 1] === CARRIAGE_RETURN && data[at + 2] === NEW_LINE) return at + 3
  }
  return -1
}

const idOf = (event: Buffer): string | undefined => /^id:[ ]?([^\r\n]*)/m.exec(event.toString('latin1'))?.[1]

/**
 * Cuts a stream of bytes into whole events; a torn one at the end is never handed on.
 *
 * @example
 * scanner.feed(chunk) // [{ bytes, id: '3' }]
 */
export class EventScanner {
  #rest: Buffer = Buffer.alloc(0)

  /** Whether the bytes so far end in the middle of an event. */
  get isTorn (): boolean {
    return this.#rest.length > 0
  }

  /** Whether an event grew beyond what is held. */
  get isOverfull (): boolean {
    return this.#rest.length > MAX_EVENT
  }

  feed (chunk: Buffer): readonly StreamEvent[] {
    let data = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const events: StreamEvent[] = []
    for (let end = endOfEvent(data); end >= 0; end = endOfEvent(data)) {
      const bytes = data.subarray(0, end)
      events.push({ bytes, id: idOf(bytes) })
      data = data.subarray(end)
    }
    this.#rest = data
    return events
  }
}

import { ByteCollector } from '@papayahill/common'
import { createParser } from 'eventsource-parser'
import type { EventSourceMessage, EventSourceParser } from 'eventsource-parser'
import { MAX_BYTES_WITHOUT_EVENT } from './constants.js'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/** Handles an event; false if nothing in it could be used. */
export type EventHandler = (event: EventSourceMessage) => boolean

/**
 * Parses server-sent events, and tells when an endpoint sends bytes without an event that could be used.
 *
 * @example
 * const reader = new EventReader((event) => handle(event))
 * if (!reader.feed(data)) stopExchange(stopper)
 */
export class EventReader {
  readonly #parser: EventSourceParser
  readonly #decoder = new TextDecoder()
  /** Bytes since the last end of a line; the parser would keep each part of a line by itself. */
  readonly #line = new ByteCollector()
  #bytesWithoutEvent = 0

  constructor (onEvent: EventHandler) {
    this.#parser = createParser({ onEvent: (event) => { if (onEvent(event)) this.#bytesWithoutEvent = 0 } })
  }

  /** Parses a part of the stream; false once there have been too many bytes since the last event that could be used. */
  feed (data: Buffer): boolean {
    this.#bytesWithoutEvent += data.length
    if (this.#bytesWithoutEvent <= MAX_BYTES_WITHOUT_EVENT) this.#parse(data)
    return this.#bytesWithoutEvent <= MAX_BYTES_WITHOUT_EVENT
  }

  #parse (data: Buffer): void {
    const end = Math.max(data.lastIndexOf(LINE_FEED), data.lastIndexOf(CARRIAGE_RETURN)) + 1
    if (end > 0) {
      this.#line.add(data.subarray(0, end))
      this.#parser.feed(this.#decoder.decode(this.#line.take(), { stream: true }))
    }
    this.#line.add(data.subarray(end))
  }
}

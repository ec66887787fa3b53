import { ByteCollector } from '@papayahill/common'
import type { Bytes } from '@papayahill/common'

/**
 * The body of one answer, collected up to a maximum size.
 *
 * @example
 * const body = new AnswerBody(MAX_ANSWER)
 * if (!body.add(data)) stopExchange(stopper)
 */
export class AnswerBody {
  readonly #maxSize: Bytes
  readonly #collector = new ByteCollector()
  #isTooLarge = false

  constructor (maxSize: Bytes) {
    this.#maxSize = maxSize
  }

  /** Adds a part; false if the body has become too large, so that the part was dropped, and so are all later ones. */
  add (part: Buffer): boolean {
    this.#isTooLarge ||= this.#collector.size + part.length > this.#maxSize
    if (!this.#isTooLarge) this.#collector.add(part)
    return !this.#isTooLarge
  }

  /** The body so far, in one piece. */
  bytes (): Buffer {
    return this.#collector.bytes
  }

  text (): string {
    return this.bytes().toString()
  }
}

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
  readonly #parts: Buffer[] = []
  #size = 0

  constructor (maxSize: Bytes) {
    this.#maxSize = maxSize
  }

  /** Adds a part; false if the body has become too large, so that the part was dropped. */
  add (part: Buffer): boolean {
    this.#size += part.length
    if (this.#size > this.#maxSize) return false
    this.#parts.push(part)
    return true
  }

  bytes (): Buffer {
    return Buffer.concat(this.#parts)
  }

  text (): string {
    return this.bytes().toString()
  }
}

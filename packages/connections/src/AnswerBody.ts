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

  /** The body so far, in one piece; the parts are not kept beside it. */
  bytes (): Buffer {
    const whole = Buffer.concat(this.#parts)
    this.#parts.splice(0, this.#parts.length, whole)
    return whole
  }

  text (): string {
    return this.bytes().toString()
  }
}

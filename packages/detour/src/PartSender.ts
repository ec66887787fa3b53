import { MAX_UNCONFIRMED_PARTS } from './constants.js'
import type { Part } from './types.js'

/**
 * Numbers the parts that one side sends, and holds them back while too many are under way.
 *
 * @example
 * const sender = new PartSender((number, part) => send({ kind: 'part', id, number, part }))
 * sender.push({ kind: 'end' })
 */
export class PartSender {
  readonly #send: (number: number, part: Part) => void
  readonly #queue: Part[] = []
  #sent = 0
  #confirmed = 0
  #queuedBytes = 0

  constructor (send: (number: number, part: Part) => void) {
    this.#send = send
  }

  get queuedBytes (): number {
    return this.#queuedBytes
  }

  get isEmpty (): boolean {
    return this.#queue.length === 0
  }

  push (part: Part): void {
    this.#queue.push(part)
    this.#queuedBytes += sizeOf(part)
    this.#flush()
  }

  /** The other side has received all parts below this number. */
  confirm (count: number): void {
    this.#confirmed = Math.max(this.#confirmed, Math.min(count, this.#sent))
    this.#flush()
  }

  #flush (): void {
    while (this.#sent - this.#confirmed < MAX_UNCONFIRMED_PARTS) {
      const part = this.#queue.shift()
      if (part === undefined) return
      this.#queuedBytes -= sizeOf(part)
      this.#send(this.#sent++, part)
    }
  }
}

const sizeOf = (part: Part): number => 'bytes' in part ? part.bytes.length : 0

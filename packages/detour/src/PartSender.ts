import { MAX_UNCONFIRMED_PARTS, PART_BYTES } from './constants.js'
import type { Part } from './types.js'

/**
 * Numbers the parts that one side sends, and holds them back while too many are under way. Data that is held back is joined to parts
 * of full size, since the parts in which it comes may be a few bytes each, and a part takes several hundred bytes beside them.
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
  /** Memory of the last part in the queue that data was joined to. */
  #joined = Buffer.alloc(0)

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
    this.#queuedBytes += sizeOf(part)
    if (part.kind === 'data' && this.#join(part.bytes)) return
    this.#queue.push(part)
    this.#flush()
  }

  /** The other side has received all parts below this number. */
  confirm (count: number): void {
    this.#confirmed = Math.max(this.#confirmed, Math.min(count, this.#sent))
    this.#flush()
  }

  /** Appends data to the last part in the queue; false if that one carries none or would become too large. */
  #join (data: Buffer): boolean {
    const last = this.#queue.at(-1)
    if (last?.kind !== 'data' || last.bytes.length + data.length > PART_BYTES) return false
    const { length } = last.bytes
    if (last.bytes.buffer !== this.#joined.buffer) {
      this.#joined = Buffer.allocUnsafeSlow(PART_BYTES)
      last.bytes.copy(this.#joined)
    }
    data.copy(this.#joined, length)
    this.#queue[this.#queue.length - 1] = { kind: 'data', bytes: this.#joined.subarray(0, length + data.length) }
    return true
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

const NOTHING = Buffer.alloc(0)

/**
 * Bytes that come in parts, kept in one piece of memory. Kept as they come, parts of a few bytes would each cost hundreds.
 *
 * @example
 * const collector = new ByteCollector()
 * collector.add(Buffer.from('da'))
 * collector.add(Buffer.from('ta'))
 * collector.take() // 'data'
 */
export class ByteCollector {
  #memory = NOTHING
  #size = 0

  /** Number of bytes. */
  get size (): number {
    return this.#size
  }

  /** The bytes so far; valid until more are added. */
  get bytes (): Buffer {
    return this.#memory.subarray(0, this.#size)
  }

  add (part: Uint8Array): void {
    const size = this.#size + part.length
    if (size > this.#memory.length) this.#grow(size)
    this.#memory.set(part, this.#size)
    this.#size = size
  }

  /** The bytes so far, which are no longer kept here. */
  take (): Buffer {
    const { bytes } = this
    this.#memory = NOTHING
    this.#size = 0
    return bytes
  }

  /** At least doubles the memory, so that each byte is copied a few times at most, however small the parts are. */
  #grow (needed: number): void {
    const memory = Buffer.allocUnsafeSlow(Math.max(needed, this.#memory.length * 2))
    this.#memory.copy(memory, 0, 0, this.#size)
    this.#memory = memory
  }
}

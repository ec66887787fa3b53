/**
 * Bytes that arrive in parts of any size, in one piece of memory: a part of a few bytes would take several hundred if it were kept.
 *
 * @example
 * const joined = new JoinedBytes()
 * joined.add(Buffer.from('par'))
 * joined.add(Buffer.from('ts'))
 * joined.take().toString() // 'parts'
 */
export class JoinedBytes {
  #memory = Buffer.alloc(0)
  #size = 0

  get size (): number {
    return this.#size
  }

  /** Appends a copy of a part; the memory doubles when it is full, so that small parts are not copied each time. */
  add (part: Uint8Array): void {
    const size = this.#size + part.length
    if (size > this.#memory.length) {
      const memory = Buffer.allocUnsafeSlow(Math.max(size, 2 * this.#memory.length))
      this.#memory.copy(memory, 0, 0, this.#size)
      this.#memory = memory
    }
    this.#memory.set(part, this.#size)
    this.#size = size
  }

  /** Returns all bytes so far, and begins anew. */
  take (): Buffer {
    const bytes = this.#memory.subarray(0, this.#size)
    this.#memory = Buffer.alloc(0)
    this.#size = 0
    return bytes
  }
}

/** Parts that are kept as they come before they are joined; a few tens of bytes each, beside their characters. */
const MAX_PARTS = 1024

/**
 * Text that comes in parts, kept in little more memory than its characters. Appended to a string, each part
 * would keep 32 bytes more.
 *
 * @example
 * const collector = new TextCollector('no ')
 * collector.add('da')
 * collector.add('ta')
 * collector.text() // 'no data'
 */
export class TextCollector {
  #joined: string
  #parts: string[] = []
  #length: number

  constructor (text = '') {
    this.#joined = text
    this.#length = text.length
  }

  /** Number of characters. */
  get length (): number {
    return this.#length
  }

  add (part: string): void {
    this.#parts.push(part)
    this.#length += part.length
    if (this.#parts.length >= MAX_PARTS) this.#join()
  }

  /** The text so far. */
  text (): string {
    this.#join()
    return this.#joined
  }

  /** `join` copies the parts, while `+=` alone would keep each of them. */
  #join (): void {
    this.#joined += this.#parts.join('')
    this.#parts = []
  }
}

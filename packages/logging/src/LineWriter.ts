import { write } from 'node:fs'
import { FLUSH_PERIOD, MAX_WAITING } from './constants.js'

/** Writes bytes to an open file; node's own in production. */
export type WriteBytes = (data: Buffer, done: (err: Error | null, written: number) => void) => void

/** Writes to a file descriptor off the loop's thread, so that a full pipe holds up nothing else. */
export const writeTo = (descriptor: number): WriteBytes => (data, done) => write(descriptor, data, done)

/**
 * Lines on their way out: written together, one write at a time, and dropped where too many wait.
 *
 * @example
 * const writer = new LineWriter(writeTo(1))
 * writer.add('{"event":1601}')
 */
export class LineWriter {
  readonly #write: WriteBytes
  #lines: string[] = []
  #waiting = 0
  #timer: NodeJS.Timeout | undefined
  #rest: Buffer | undefined

  constructor (write: WriteBytes) {
    this.#write = write
  }

  /** Bytes that wait. */
  get waiting (): number {
    return this.#waiting
  }

  /** False where the line was dropped. */
  add (line: string): boolean {
    if (this.#waiting + line.length > MAX_WAITING) return false
    this.#lines.push(line)
    this.#waiting += line.length + 1
    if (this.#timer === undefined && this.#rest === undefined) {
      this.#timer = setTimeout(() => this.flush(), FLUSH_PERIOD)
      this.#timer.unref()
    }
    return true
  }

  /** Writes what waits, unless a write is under way. */
  flush (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    if (this.#rest !== undefined || this.#lines.length === 0) return
    this.#rest = Buffer.from(this.#lines.join('\n') + '\n')
    this.#lines = []
    this.#writeRest(this.#rest)
  }

  #writeRest (data: Buffer): void {
    this.#write(data, (err, written) => {
      if (err === null && written < data.length) return this.#writeRest(data.subarray(written))
      this.#rest = undefined
      this.#waiting = this.#lines.reduce((sum, line) => sum + line.length + 1, 0)
      this.flush()
    })
  }
}

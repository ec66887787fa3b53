import { write } from 'node:fs'
import { FLUSH_PERIOD, MAX_BUFFERED_BYTES, MAX_FLUSH_DELAY } from './constants.js'

/** Writes bytes to an open file and reports how many were written. */
export type WriteBytes = (data: Buffer, done: (err: Error | null, written: number) => void) => void

/** Writes to a file descriptor in libuv's thread pool, so that a full pipe does not block the event loop. */
export const writeTo = (descriptor: number): WriteBytes => (data, done) => write(descriptor, data, done)

/**
 * Buffers lines and writes them in batches, one write at a time. Drops lines if the buffer is full. Lines of a turn of the event
 * loop that does not end are written, too, as far as one write takes them: the timer would never fire.
 *
 * @example
 * const writer = new LineWriter(writeTo(1), () => clock.now())
 * writer.add('{"event":1601}')
 */
export class LineWriter {
  readonly #write: WriteBytes
  readonly #now: () => number
  /** When the next write of the timer is due. */
  #flushAt = Infinity
  #lines: string[] = []
  #bufferedBytes = 0
  #timer: NodeJS.Timeout | undefined
  #inFlight: Buffer | undefined

  /** `now` is the monotonic time in milliseconds. */
  constructor (write: WriteBytes, now: () => number) {
    this.#write = write
    this.#now = now
  }

  /** Bytes that are not written yet. */
  get bufferedBytes (): number {
    return this.#bufferedBytes
  }

  /** Adds a line; returns false if it was dropped. */
  add (line: string): boolean {
    if (this.#bufferedBytes + line.length > MAX_BUFFERED_BYTES) return false
    this.#lines.push(line)
    this.#bufferedBytes += line.length + 1
    if (this.#inFlight !== undefined) return true
    if (this.#timer === undefined) this.#startTimer()
    else if (this.#now() >= this.#flushAt + MAX_FLUSH_DELAY) this.flush()
    return true
  }

  /** Writes the buffered lines, unless a write is in progress. */
  flush (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    if (this.#inFlight !== undefined || this.#lines.length === 0) return
    this.#inFlight = Buffer.from(this.#lines.join('\n') + '\n')
    this.#lines = []
    this.#writeAll(this.#inFlight)
  }

  #startTimer (): void {
    this.#flushAt = this.#now() + FLUSH_PERIOD
    this.#timer = setTimeout(() => this.flush(), FLUSH_PERIOD)
    this.#timer.unref()
  }

  #writeAll (data: Buffer): void {
    this.#write(data, (err, written) => {
      if (err === null && written < data.length) return this.#writeAll(data.subarray(written))
      this.#inFlight = undefined
      this.#bufferedBytes = this.#lines.reduce((sum, line) => sum + line.length + 1, 0)
      this.flush()
    })
  }
}

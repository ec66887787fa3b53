import { isSameCall, millis, TextCollector } from '@papayahill/common'
import type { CallId, Clock, Millis } from '@papayahill/common'
import type { ResumePoint, StageChunk } from '@papayahill/endpoints'
import { MAX_BUFFERED_BYTES } from './constants.js'
import type { AnswerSink } from './types.js'

/**
 * Result of offering a chunk to the relay.
 *
 * - `delivered`: the next chunk; it was sent to the caller or buffered.
 * - `repeated`: already delivered; dropped.
 * - `crossed`: it carries the id of another call; dropped.
 * - `late`: its call is no longer the current one; dropped.
 * - `gap`: a chunk before it is missing, so the stream has to be resumed after the last good one.
 * - `overflow`: the caller reads too slowly and the buffer is full.
 */
export type ChunkVerdict = 'delivered' | 'repeated' | 'crossed' | 'late' | 'gap' | 'overflow'

/**
 * Relays one request's streamed answer, over any number of calls: each chunk once, in order.
 *
 * @example
 * relay.open(call)
 * relay.accept(call, chunk) // 'delivered'
 * relay.resumePoint // where another call resumes
 */
export class ChunkRelay {
  readonly #clock: Clock
  readonly #sink: AnswerSink
  #call: CallId | undefined
  readonly #text = new TextCollector()
  #nextIndex = 0
  #buffer: string[] = []
  #bufferedBytes = 0
  #sent = 0
  #isBlocked = false
  #hasPossibleGap = false
  #isClosed = false
  #firstChunkAt: Millis | undefined
  #lastAt: Millis | undefined
  #worstGap = millis(0)
  #drainWaiters: Array<() => void> = []

  constructor (clock: Clock, sink: AnswerSink) {
    this.#clock = clock
    this.#sink = sink
  }

  /** Chunks accepted so far. */
  get chunks (): number {
    return this.#nextIndex
  }

  get firstChunkAt (): Millis | undefined {
    return this.#firstChunkAt
  }

  get worstGap (): Millis | undefined {
    return this.#nextIndex > 1 ? this.#worstGap : undefined
  }

  get resumePoint (): ResumePoint | undefined {
    return this.#nextIndex === 0 ? undefined : { chunks: this.#nextIndex, text: this.#text.text() }
  }

  /** Whether a dropped chunk with another call's id may have replaced the next chunk of this call. */
  get hasPossibleGap (): boolean {
    return this.#hasPossibleGap
  }

  /** Makes `call` the current one; only its chunks are accepted. */
  open (call: CallId): void {
    this.#hasPossibleGap = false
    this.#call = call
  }

  /** Rejects all chunks until another call is opened. */
  pause (): void {
    this.#call = undefined
  }

  /** Stops sending to the caller and drops the buffer, since the request has its final answer. */
  close (): void {
    this.#isClosed = true
    this.#buffer = []
    this.#finishDrain()
  }

  accept (sentAs: CallId, chunk: StageChunk): ChunkVerdict {
    if (this.#isClosed || this.#call === undefined || !isSameCall(sentAs, this.#call)) return 'late'
    if (!isSameCall(chunk.call, sentAs)) return this.#rejectCrossed()
    if (chunk.index < this.#nextIndex) return 'repeated'
    if (chunk.index > this.#nextIndex) return 'gap'
    return this.#append(chunk.text)
  }

  /** Resolves once all accepted chunks were sent to the caller. */
  drain (): Promise<void> {
    if (this.#buffer.length === 0) return Promise.resolve()
    return new Promise((resolve) => { this.#drainWaiters.push(resolve) })
  }

  #rejectCrossed (): ChunkVerdict {
    this.#hasPossibleGap = true
    return 'crossed'
  }

  #append (text: string): ChunkVerdict {
    const size = Buffer.byteLength(text)
    if (this.#isBlocked && this.#bufferedBytes + size > MAX_BUFFERED_BYTES) return 'overflow'
    this.#nextIndex++
    this.#hasPossibleGap = false
    this.#text.add(text)
    this.#recordTime()
    if (this.#isBlocked) this.#enqueue(text, size)
    else this.#send(text)
    return 'delivered'
  }

  #enqueue (text: string, size: number): void {
    this.#buffer.push(text)
    this.#bufferedBytes += size
  }

  #send (text: string): void {
    const canSendMore = this.#sink.chunk({ index: this.#sent++, text })
    if (canSendMore) return
    this.#isBlocked = true
    void this.#sink.drained().then(() => this.#flush())
  }

  #flush (): void {
    this.#isBlocked = false
    while (!this.#isBlocked && this.#buffer.length > 0) {
      const text = this.#buffer.shift()!
      this.#bufferedBytes -= Buffer.byteLength(text)
      this.#send(text)
    }
    if (this.#buffer.length === 0) this.#finishDrain()
  }

  #finishDrain (): void {
    for (const resolve of this.#drainWaiters) resolve()
    this.#drainWaiters = []
  }

  #recordTime (): void {
    const now = this.#clock.now()
    this.#firstChunkAt ??= now
    if (this.#lastAt !== undefined) this.#worstGap = millis(Math.max(this.#worstGap, now - this.#lastAt))
    this.#lastAt = now
  }
}

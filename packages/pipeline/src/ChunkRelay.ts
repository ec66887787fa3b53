import { isSameCall, millis } from '@papayahill/common'
import type { CallId, Clock, Millis } from '@papayahill/common'
import type { ResumePoint, StageChunk } from '@papayahill/endpoints'
import { MAX_WAITING_BYTES } from './constants.js'
import type { AnswerSink } from './types.js'

/**
 * - `delivered`: the next chunk; it went to the caller, or waits for it.
 * - `repeated`: already delivered; dropped.
 * - `crossed`: it echoes another call; dropped.
 * - `late`: its call is not the present one any more; dropped.
 * - `gap`: a chunk before it is missing, so the stream has to go on from the last good one.
 * - `overflow`: the caller reads too slowly for what may wait.
 */
export type ChunkVerdict = 'delivered' | 'repeated' | 'crossed' | 'late' | 'gap' | 'overflow'

/**
 * Passes one request's streamed answer on, whatever number of calls it takes: each chunk once, in order.
 *
 * @example
 * relay.open(call)
 * relay.accept(call, chunk) // 'delivered'
 * relay.resumePoint // where another call goes on
 */
export class ChunkRelay {
  readonly #clock: Clock
  readonly #sink: AnswerSink
  #call: CallId | undefined
  #text = ''
  #next = 0
  #waiting: string[] = []
  #waitingBytes = 0
  #sent = 0
  #isBlocked = false
  #isHoled = false
  #isClosed = false
  #firstAt: Millis | undefined
  #lastAt: Millis | undefined
  #worstGap = millis(0)
  #drained: Array<() => void> = []

  constructor (clock: Clock, sink: AnswerSink) {
    this.#clock = clock
    this.#sink = sink
  }

  /** Chunks accepted so far. */
  get chunks (): number {
    return this.#next
  }

  get firstAt (): Millis | undefined {
    return this.#firstAt
  }

  get worstGap (): Millis | undefined {
    return this.#next > 1 ? this.#worstGap : undefined
  }

  get resumePoint (): ResumePoint | undefined {
    return this.#next === 0 ? undefined : { chunks: this.#next, text: this.#text }
  }

  /** Whether a chunk that echoed another call may have stood where the next own one belonged. */
  get isHoled (): boolean {
    return this.#isHoled
  }

  /** Makes `call` the one whose chunks count. */
  open (call: CallId): void {
    this.#isHoled = false
    this.#call = call
  }

  /** No chunk counts until another call is opened. */
  pause (): void {
    this.#call = undefined
  }

  /** The request has its final answer; nothing more goes to the caller. */
  close (): void {
    this.#isClosed = true
    this.#waiting = []
    this.#finishDrain()
  }

  accept (sentAs: CallId, chunk: StageChunk): ChunkVerdict {
    if (this.#isClosed || this.#call === undefined || !isSameCall(sentAs, this.#call)) return 'late'
    if (!isSameCall(chunk.call, sentAs)) return this.#cross()
    if (chunk.index < this.#next) return 'repeated'
    if (chunk.index > this.#next) return 'gap'
    return this.#append(chunk.text)
  }

  /** Resolves once the caller has taken all accepted chunks. */
  drain (): Promise<void> {
    if (this.#waiting.length === 0) return Promise.resolve()
    return new Promise((resolve) => { this.#drained.push(resolve) })
  }

  #cross (): ChunkVerdict {
    this.#isHoled = true
    return 'crossed'
  }

  #append (text: string): ChunkVerdict {
    const size = Buffer.byteLength(text)
    if (this.#isBlocked && this.#waitingBytes + size > MAX_WAITING_BYTES) return 'overflow'
    this.#next++
    this.#isHoled = false
    this.#text += text
    this.#time()
    if (this.#isBlocked) this.#hold(text, size)
    else this.#send(text)
    return 'delivered'
  }

  #hold (text: string, size: number): void {
    this.#waiting.push(text)
    this.#waitingBytes += size
  }

  #send (text: string): void {
    const isRoomLeft = this.#sink.chunk({ index: this.#sent++, text })
    if (isRoomLeft) return
    this.#isBlocked = true
    void this.#sink.drained().then(() => this.#flush())
  }

  #flush (): void {
    this.#isBlocked = false
    while (!this.#isBlocked && this.#waiting.length > 0) {
      const text = this.#waiting.shift()!
      this.#waitingBytes -= Buffer.byteLength(text)
      this.#send(text)
    }
    if (this.#waiting.length === 0) this.#finishDrain()
  }

  #finishDrain (): void {
    for (const resolve of this.#drained) resolve()
    this.#drained = []
  }

  #time (): void {
    const now = this.#clock.now()
    this.#firstAt ??= now
    if (this.#lastAt !== undefined) this.#worstGap = millis(Math.max(this.#worstGap, now - this.#lastAt))
    this.#lastAt = now
  }
}

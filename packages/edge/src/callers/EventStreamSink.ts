import type { ServerResponse } from 'node:http'
import type { Clock, Failure, Json, Millis, RequestId, Timer } from '@papayahill/common'
import { isJsonObject } from '@papayahill/common'
import type { Answer, AnswerChunk, AnswerSink } from '@papayahill/pipeline'
import { encodeProblem } from '../problem.js'

export interface EventStreamSinkOptions {
  readonly clock: Clock
  readonly res: ServerResponse
  readonly request: RequestId
  /** Maximum bytes that are buffered for the caller. */
  readonly maxBufferedBytes: number
  /** Maximum time until the buffer drains after a write exceeded the high-water mark. */
  readonly drainTimeout: Millis
  /** Called once if the caller reads too slowly. */
  readonly onSlow: () => void
}

const withoutText = (body: Json): Json => {
  if (!isJsonObject(body)) return body
  const { text: _text, ...rest } = body
  return rest
}

/**
 * Writes an answer as server-sent events. The headers are sent with the first chunk, so that an error
 * before it still gets its own status; only an `end` event completes the stream.
 *
 * @example
 * const sink = new EventStreamSink({ clock, res, request, maxBufferedBytes, drainTimeout, onSlow })
 */
export class EventStreamSink implements AnswerSink {
  readonly #options: EventStreamSinkOptions
  #drainTimer: Timer | undefined
  #isSlow = false
  #drained: Promise<void> | undefined

  constructor (options: EventStreamSinkOptions) {
    this.#options = options
  }

  get isStarted (): boolean {
    return this.#options.res.headersSent
  }

  chunk (chunk: AnswerChunk): boolean {
    const { res, maxBufferedBytes } = this.#options
    if (this.#isSlow || res.destroyed) return true
    this.#start()
    const canContinue = res.write(`id: ${chunk.index}\nevent: chunk\ndata: ${JSON.stringify({ index: chunk.index, text: chunk.text })}\n\n`)
    if (!canContinue) this.#startDrainTimer()
    if (res.writableLength > maxBufferedBytes) this.#cutSlowCaller()
    return canContinue
  }

  drained (): Promise<void> {
    return this.#drained ?? Promise.resolve()
  }

  /** Sends the `end` event; text that was streamed is not repeated in its body. */
  end (answer: Answer): void {
    this.#start()
    const body = answer.chunks === 0 ? answer.body : withoutText(answer.body)
    const data = { request: answer.request, chunks: answer.chunks, isReplayed: answer.isReplayed, usage: answer.usage, body }
    this.#options.res.end(`event: end\ndata: ${JSON.stringify(data)}\n\n`)
    this.#drainTimer?.cancel()
  }

  /** Sends the error of a stream that has started. */
  fail (cause: Failure): void {
    this.#options.res.end(`event: error\ndata: ${JSON.stringify(encodeProblem(cause, this.#options.request))}\n\n`)
    this.#drainTimer?.cancel()
  }

  #start (): void {
    const { res, request } = this.#options
    if (res.headersSent) return
    res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': request })
  }

  #startDrainTimer (): void {
    if (this.#drained !== undefined) return
    const { clock, res, drainTimeout } = this.#options
    this.#drainTimer = clock.after(drainTimeout, () => this.#cutSlowCaller())
    this.#drained = new Promise((resolve) => {
      const done = (): void => {
        res.off('drain', done)
        res.off('close', done)
        this.#drainTimer?.cancel()
        this.#drained = undefined
        resolve()
      }
      res.on('drain', done)
      res.on('close', done)
    })
  }

  #cutSlowCaller (): void {
    if (this.#isSlow) return
    this.#isSlow = true
    this.#options.onSlow()
  }
}

import type { ServerResponse } from 'node:http'
import type { Clock, Failure, Json, Millis, RequestId, Timer } from '@papayahill/common'
import { isJsonObject } from '@papayahill/common'
import type { Answer, AnswerChunk, AnswerSink } from '@papayahill/pipeline'
import { encodeProblem } from '../problem.js'

export interface EventStreamSinkOptions {
  readonly clock: Clock
  readonly res: ServerResponse
  readonly request: RequestId
  /** Bytes that may wait for the caller. */
  readonly maxWaiting: number
  /** Longest time for which more than the socket's buffer may wait. */
  readonly patience: Millis
  /** Called once where the caller reads too slowly. */
  readonly onSlow: () => void
}

const withoutText = (body: Json): Json => {
  if (!isJsonObject(body)) return body
  const { text: _text, ...rest } = body
  return rest
}

/**
 * Writes an answer as server-sent events. The headers go out with the first chunk, so that an error
 * before it still gets its own status; only an `end` event makes the stream whole.
 *
 * @example
 * const sink = new EventStreamSink({ clock, res, request, maxWaiting, patience, onSlow })
 */
export class EventStreamSink implements AnswerSink {
  readonly #options: EventStreamSinkOptions
  #patience: Timer | undefined
  #isSlow = false
  #drained: Promise<void> | undefined

  constructor (options: EventStreamSinkOptions) {
    this.#options = options
  }

  get isStarted (): boolean {
    return this.#options.res.headersSent
  }

  chunk (chunk: AnswerChunk): boolean {
    const { res, maxWaiting } = this.#options
    if (this.#isSlow || res.destroyed) return true
    this.#start()
    const isTaken = res.write(`id: ${chunk.index}\nevent: chunk\ndata: ${JSON.stringify({ index: chunk.index, text: chunk.text })}\n\n`)
    if (!isTaken) this.#watch()
    if (res.writableLength > maxWaiting) this.#giveUp()
    return isTaken
  }

  drained (): Promise<void> {
    return this.#drained ?? Promise.resolve()
  }

  /** The explicit end; the text that was streamed is not sent again. */
  end (answer: Answer): void {
    this.#start()
    const body = answer.chunks === 0 ? answer.body : withoutText(answer.body)
    const data = { request: answer.request, chunks: answer.chunks, isReplayed: answer.isReplayed, usage: answer.usage, body }
    this.#options.res.end(`event: end\ndata: ${JSON.stringify(data)}\n\n`)
    this.#patience?.cancel()
  }

  /** The error of a stream that has begun. */
  fail (cause: Failure): void {
    this.#options.res.end(`event: error\ndata: ${JSON.stringify(encodeProblem(cause, this.#options.request))}\n\n`)
    this.#patience?.cancel()
  }

  #start (): void {
    const { res, request } = this.#options
    if (res.headersSent) return
    res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': request })
  }

  #watch (): void {
    if (this.#drained !== undefined) return
    const { clock, res, patience } = this.#options
    this.#patience = clock.after(patience, () => this.#giveUp())
    this.#drained = new Promise((resolve) => {
      const done = (): void => {
        res.off('drain', done)
        res.off('close', done)
        this.#patience?.cancel()
        this.#drained = undefined
        resolve()
      }
      res.on('drain', done)
      res.on('close', done)
    })
  }

  #giveUp (): void {
    if (this.#isSlow) return
    this.#isSlow = true
    this.#options.onSlow()
  }
}

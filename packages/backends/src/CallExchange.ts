import { formatCallId, isJsonObject, millis, parseBoundedJson } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, Millis } from '@papayahill/common'
import { AnswerBody, headerOf, newStopper, retryAfterOf, stopExchange } from '@papayahill/connections'
import type { SocketAnswer, SocketFailure, SocketRequest, Stopper } from '@papayahill/connections'
import type { CallError, StageAnswer, StageCall, StageChunk } from '@papayahill/endpoints'
import type { ListedEndpoint } from '@papayahill/stores'
import { Result } from 'true-myth'
import { ADAPTERS } from './adapters.js'
import type { Adapter } from './adapters.js'
import { CompletionStream } from './CompletionStream.js'
import { MAX_ANSWER } from './constants.js'
import { BACKENDS_EVENTS } from './events.js'

export interface CallExchangeOptions {
  readonly self: InstanceId
  readonly clock: Clock
  readonly log: EventLog
  readonly endpoint: ListedEndpoint
}

const REFUSED_STATUSES: ReadonlySet<number> = new Set([429, 503])

/** Sends one request over a connection and streams the answer to `listener`. */
export type Send = (
  req: SocketRequest, listener: { onStart (answer: SocketAnswer): void, onData (data: Buffer): void }, stopper: Stopper
) => Promise<Result<void, SocketFailure>>

/**
 * Runs one call: sends the request, enforces its timeout and cancellation, and decodes the answer.
 *
 * @example
 * const exchange = new CallExchange(options, call, onChunk, signal)
 * await exchange.run((req, listener, stopper) => socket.exchange(req, listener, stopper))
 */
export class CallExchange {
  readonly #options: CallExchangeOptions
  readonly #call: StageCall
  readonly #adapter: Adapter
  readonly #stream: CompletionStream | undefined
  readonly #signal: AbortSignal
  readonly #stopper = newStopper()
  readonly #body = new AnswerBody(MAX_ANSWER)
  #answer: SocketAnswer | undefined
  readonly #startedAt: Millis
  #isTimedOut = false
  /** Whether the endpoint sent more than an answer, or a stream without a chunk, may have. */
  #isEndless = false

  constructor (
    options: CallExchangeOptions, call: StageCall, onChunk: (chunk: StageChunk) => void, signal: AbortSignal
  ) {
    this.#options = options
    this.#call = call
    this.#adapter = ADAPTERS[call.kind]
    this.#signal = signal
    this.#startedAt = options.clock.now()
    this.#stream = call.kind === 'engine' && call.isStreamed ? new CompletionStream(call, onChunk) : undefined
  }

  get incarnation (): string | undefined {
    return this.#answer === undefined ? undefined : headerOf(this.#answer.headers, 'x-incarnation')
  }

  notSentError (detail: string): Result<StageAnswer, CallError> {
    return Result.err({ outcome: 'not-sent', detail })
  }

  async run (send: Send): Promise<Result<StageAnswer, CallError>> {
    const stop = (): void => stopExchange(this.#stopper)
    const timer = this.#options.clock.after(this.#call.timeout, () => {
      this.#isTimedOut = true
      stop()
    })
    this.#signal.addEventListener('abort', stop, { once: true })
    if (this.#signal.aborted) stop()
    const result = await send(this.#request(), this, this.#stopper)
    this.#signal.removeEventListener('abort', stop)
    timer.cancel()
    return result.isErr ? Result.err(this.#callErrorOf(result.error)) : this.#readAnswer()
  }

  onStart (answer: SocketAnswer): void {
    this.#answer = answer
  }

  onData (data: Buffer): void {
    const isStreaming = this.#stream !== undefined && this.#answer?.status === 200
    const isBounded = isStreaming ? this.#stream.feed(data) : this.#body.add(data)
    if (isBounded) return
    this.#isEndless = true
    stopExchange(this.#stopper)
  }

  #request (): SocketRequest {
    const { id, key, workspace } = this.#call
    return {
      method: 'POST',
      path: this.#adapter.path,
      headers: {
        'content-type': 'application/json',
        'x-call-id': formatCallId(id),
        'x-workspace': workspace,
        'x-class': this.#call.class,
        'x-instance': this.#options.self,
        ...(key === undefined ? {} : { 'idempotency-key': encodeURIComponent(key) })
      },
      body: JSON.stringify(this.#adapter.encode(this.#call, this.#options.endpoint.version))
    }
  }

  #elapsed (): Millis {
    return millis(this.#options.clock.now() - this.#startedAt)
  }

  #callErrorOf (failure: SocketFailure): CallError {
    if (!failure.isSent) return { outcome: 'not-sent', detail: failure.detail }
    const usage = this.#stream?.partialUsage(this.#elapsed())
    if (this.#isTimedOut) return { outcome: 'timed-out', detail: `no answer in ${this.#call.timeout} ms`, usage }
    if (this.#isEndless) return { outcome: 'cut', detail: 'the endpoint sent more bytes than an answer may have', usage }
    if (this.#signal.aborted) return { outcome: 'cancelled', detail: 'cancelled', usage }
    return { outcome: 'cut', detail: failure.detail, usage }
  }

  #readAnswer (): Result<StageAnswer, CallError> {
    const answer = this.#answer
    if (answer === undefined) return Result.err({ outcome: 'cut', detail: 'no response was received' })
    if (answer.status !== 200) return Result.err(this.#statusError(answer))
    const stageAnswer = this.#stream === undefined ? this.#decodeBody() : this.#stream.answer(this.#elapsed())
    if (stageAnswer !== undefined) return Result.ok(stageAnswer)
    if (this.#stream !== undefined) {
      return Result.err({ outcome: 'cut', detail: 'the stream ended without its end marker', usage: this.#stream.partialUsage(this.#elapsed()) })
    }
    this.#options.log.emit(BACKENDS_EVENTS.answerMalformed, { endpoint: this.#options.endpoint.id, kind: this.#call.kind })
    return Result.err({ outcome: 'failed', detail: 'the endpoint answered with an unexpected body' })
  }

  #decodeBody (): StageAnswer | undefined {
    const body = parseBoundedJson(this.#body.text())
    return isJsonObject(body) ? this.#adapter.decode(body, this.#elapsed()) : undefined
  }

  #statusError (answer: SocketAnswer): CallError {
    const outcome = REFUSED_STATUSES.has(answer.status) ? 'refused' : 'failed'
    const json = parseBoundedJson(this.#body.text())
    const body = isJsonObject(json) ? json : {}
    const retryAfter = retryAfterOf(answer.headers)
    return {
      outcome,
      detail: `the endpoint answered ${answer.status}`,
      retryAfter: retryAfter?.kind === 'span' ? retryAfter.span : undefined,
      usage: body.usage === undefined ? undefined : this.#adapter.usage(body.usage, this.#elapsed()),
      cacheExport: typeof body.cache_export === 'string' ? body.cache_export : undefined
    }
  }
}

import { isSameCall } from '@papayahill/common'
import type { EndpointIncarnation } from '@papayahill/common'
import type {
  CallError, EndpointConnection, StageAnswer, StageCall, StageChunk
} from '@papayahill/endpoints'
import { Result } from 'true-myth'
import { CallExchange } from './CallExchange.js'
import type { CallExchangeOptions } from './CallExchange.js'
import { BACKENDS_EVENTS } from './events.js'
import { SocketPool } from './SocketPool.js'
import type { OpenedSocket } from './openSocket.js'

export interface HttpConnectionOptions extends CallExchangeOptions {
  readonly origin: string
  /** The connection on which the incarnation was confirmed. */
  readonly first: OpenedSocket
}

/**
 * All connections of one instance to one incarnation of an endpoint. Each is confirmed before it carries calls;
 * the first that shows another incarnation closes them all.
 */
export class HttpConnection implements EndpointConnection {
  readonly incarnation: EndpointIncarnation
  readonly #options: HttpConnectionOptions
  readonly #sockets: SocketPool
  readonly #listeners: Array<() => void> = []
  #isOpen = true

  constructor (options: HttpConnectionOptions) {
    this.#options = options
    this.incarnation = options.first.incarnation
    this.#sockets = new SocketPool({
      origin: options.origin, clock: options.clock, first: options.first, onIncarnationLost: () => this.#closeAsLost()
    })
  }

  get isOpen (): boolean {
    return this.#isOpen
  }

  async call (
    call: StageCall, onChunk: (chunk: StageChunk) => void, signal: AbortSignal
  ): Promise<Result<StageAnswer, CallError>> {
    if (!this.#isOpen) return Result.err({ outcome: 'not-sent', detail: 'the connection is closed' })
    if (signal.aborted) return Result.err({ outcome: 'not-sent', detail: 'cancelled before it was sent' })
    const exchange = new CallExchange(this.#options, call, onChunk, signal)
    const socket = this.#sockets.acquireIdle() ?? await this.#sockets.open()
    if (socket === undefined) return exchange.notSentError('no connection to the endpoint')
    const result = await exchange.run((req, listener, stopper) => socket.exchange(req, listener, stopper))
    if (mayBeRepeated(result, call)) socket.close()
    this.#sockets.release(socket)
    this.#checkIncarnation(exchange.incarnation)
    return result
  }

  onClose (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** Rejects further calls; running ones finish. */
  close (): void {
    if (!this.#isOpen) return
    this.#isOpen = false
    this.#sockets.close()
    for (const listener of this.#listeners) listener()
  }

  #checkIncarnation (seen: string | undefined): void {
    if (seen !== undefined && seen !== this.incarnation) this.#closeAsLost()
  }

  #closeAsLost (): void {
    if (!this.#isOpen) return
    this.#options.log.emit(BACKENDS_EVENTS.connectionLost, {
      endpoint: this.#options.endpoint.id, incarnation: this.incarnation
    })
    this.close()
  }
}

/**
 * Whether an answer may be an earlier one that was written again: the call's own would then be read for the next call on
 * the connection. A refusal carries no id by which it could be told.
 */
const mayBeRepeated = (result: Result<StageAnswer, CallError>, call: StageCall): boolean =>
  result.isOk ? !isSameCall(result.value.call, call.id) : result.error.outcome === 'refused'

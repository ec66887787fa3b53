import { Result } from 'true-myth'
import { buildConnector, Client } from 'undici'
import type { Dispatcher } from 'undici'
import { IDLE_TIMEOUT, OPEN_TIMEOUT } from './constants.js'

export interface SocketRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string
}

export interface SocketAnswer {
  readonly status: number
  readonly incarnation: string | undefined
  readonly retryAfter: string | undefined
}

/** Why no whole answer came; `isSent` tells whether a byte of the request may have left. */
export interface SocketLoss {
  readonly isSent: boolean
  readonly detail: string
}

export interface AnswerListener {
  onStart (answer: SocketAnswer): void
  onData (data: Buffer): void
}

/** Ends an exchange from outside; a plain object, since it is made for each call. */
export interface Stopper {
  isStopped: boolean
  /** Set while the exchange runs. */
  stop: (() => void) | undefined
}

/** Stops an exchange, also one that has not begun. */
export const stopExchange = (stopper: Stopper): void => {
  stopper.isStopped = true
  stopper.stop?.()
}

export const newStopper = (): Stopper => ({ isStopped: false, stop: undefined })

type Headers = Readonly<Record<string, string | string[] | undefined>>

const headerOf = (headers: Headers, name: string): string | undefined => {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Connects once: a lost connection is never replaced behind the back of who confirmed it. */
const connectOnce = (): buildConnector.connector => {
  const connect = buildConnector({ timeout: OPEN_TIMEOUT })
  let isUsed = false
  return (options, callback) => {
    if (isUsed) return callback(new Error('the connection was lost'), null)
    isUsed = true
    connect(options, callback)
  }
}

/**
 * Exactly one TCP connection to an endpoint, for one exchange at a time.
 *
 * @example
 * const socket = new ConfirmedSocket('http://127.0.0.1:9101')
 */
export class ConfirmedSocket {
  readonly #client: Client
  #isLost = false
  #isClosed = false
  #onLost: () => void = () => {}

  constructor (origin: string) {
    this.#client = new Client(origin, {
      connect: connectOnce(),
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT,
      keepAliveMaxTimeout: IDLE_TIMEOUT,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    this.#client.on('disconnect', () => this.#lose())
    this.#client.on('connectionError', () => this.#lose())
  }

  get isUsable (): boolean {
    return !this.#isLost && !this.#isClosed
  }

  /** Calls back once where the connection ends and not by {@link ConfirmedSocket.close}. */
  onLost (listener: () => void): void {
    this.#onLost = listener
  }

  /** Sends one request; the answer's parts go to the listener as they come. */
  exchange (req: SocketRequest, listener: AnswerListener, stopper: Stopper): Promise<Result<void, SocketLoss>> {
    return new Promise((resolve) => {
      const handler = new ExchangeHandler(listener, stopper, resolve)
      this.#client.dispatch({ method: req.method, path: req.path, headers: req.headers, body: req.body ?? null }, handler)
    })
  }

  close (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    void this.#client.destroy().catch(() => {})
  }

  #lose (): void {
    if (this.#isLost) return
    this.#isLost = true
    if (this.#isClosed) return
    this.close()
    this.#onLost()
  }
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #listener: AnswerListener
  readonly #stopper: Stopper
  readonly #resolve: (result: Result<void, SocketLoss>) => void
  #isSent = false

  constructor (listener: AnswerListener, stopper: Stopper, resolve: (result: Result<void, SocketLoss>) => void) {
    this.#listener = listener
    this.#stopper = stopper
    this.#resolve = resolve
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#stopper.isStopped) return controller.abort(new Error('stopped before it was sent'))
    this.#isSent = true
    this.#stopper.stop = () => controller.abort(new Error('stopped'))
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: Headers): void {
    this.#listener.onStart({
      status, incarnation: headerOf(headers, 'x-incarnation'), retryAfter: headerOf(headers, 'retry-after')
    })
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#listener.onData(chunk)
  }

  onResponseEnd (): void {
    this.#settle(Result.ok(undefined))
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.#settle(Result.err({ isSent: this.#isSent, detail: err.message }))
  }

  #settle (result: Result<void, SocketLoss>): void {
    this.#stopper.stop = undefined
    this.#resolve(result)
  }
}

import type { Socket } from 'node:net'
import { Result } from 'true-myth'
import { Client } from 'undici'
import type { buildConnector, Dispatcher } from 'undici'
import { IDLE_TIMEOUT, MAX_ANSWER_FIELDS, MAX_ANSWER_OVERHEAD, MAX_INTERIM_ANSWERS, OVERHEAD_FACTOR, SETTLE_TIME } from './constants.js'
import { TCP_DIALER } from './EndpointDialer.js'
import { isFramed } from './headers.js'
import type { AnswerHeaders, HeaderList } from './headers.js'

export interface SocketRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>> | HeaderList
  readonly body?: string | Buffer
}

export interface SocketAnswer {
  readonly status: number
  readonly headers: AnswerHeaders
  /** The headers as received, in their order. */
  readonly rawHeaders: HeaderList
}

/** Why no complete answer was received; `isSent` is true if a byte of the request may have been sent. */
export interface SocketFailure {
  readonly isSent: boolean
  /** Whether nothing listens at the address. */
  readonly isRefused: boolean
  /** Whether this instance ended the connection, since what the endpoint sent was no answer: bytes without end, or an invalid status. */
  readonly isNoAnswer: boolean
  readonly detail: string
}

export interface AnswerListener {
  onStart (answer: SocketAnswer): void
  onData (data: Buffer): void
  /** Whether the request may still be sent, called once the connection is open; without it, the request is always sent. */
  mayStart? (): boolean
}

/** Handle to stop an exchange; a plain object, because one is created for each call. */
export interface Stopper {
  isStopped: boolean
  /** Set while the exchange runs. */
  stop: (() => void) | undefined
}

/** Stops an exchange, even one that has not started. */
export const stopExchange = (stopper: Stopper): void => {
  stopper.isStopped = true
  stopper.stop?.()
}

export const newStopper = (): Stopper => ({ isStopped: false, stop: undefined })

/** State of a connection, from the events of its socket. */
interface SocketState {
  /** The endpoint closed or reset the connection. */
  isEnded: boolean
  /** It ended in an error, such as a reset. */
  isBroken: boolean
  /** Bytes received. */
  bytesRead: number
  /** Called after received bytes have been parsed. */
  onRead: () => void
  /** Called once the connection has opened, or could not be opened. */
  onConnected: (isOpen: boolean) => void
}

/** A reset that arrives with the last bytes is reported as an orderly end; only the missing remote address reveals it. */
const hasPeer = (socket: Socket): boolean => socket.remoteAddress !== undefined

/** Reports a connection as open once it has lasted for a moment, or as failed. */
const reportConnected = (state: SocketState, isOpen: boolean): void => {
  if (!isOpen) return state.onConnected(false)
  setTimeout(() => state.onConnected(!state.isEnded || state.bytesRead > 0), SETTLE_TIME).unref()
}

/**
 * Connects only once: a lost connection is never replaced silently, since the caller confirmed the endpoint on it. The
 * state is updated before the client handles the end, because the client accepts the bytes before a reset as a whole answer.
 */
const connectOnce = (state: SocketState, connect: buildConnector.connector): buildConnector.connector => {
  let isUsed = false
  return (options, callback) => {
    if (isUsed) return callback(new Error('the connection was lost'), null)
    isUsed = true
    connect(options, (...connected) => {
      const [, socket] = connected
      reportConnected(state, connected[0] === null)
      socket?.on('readable', () => {
        state.bytesRead = socket.bytesRead
        // The client parses the bytes in its own listener, which is called after this one.
        queueMicrotask(() => state.onRead())
      })
      socket?.on('error', () => {
        state.isEnded = true
        state.isBroken = true
      })
      socket?.on('end', () => {
        state.isEnded = true
        state.isBroken ||= !hasPeer(socket)
      })
      socket?.on('close', () => {
        state.isBroken ||= !state.isEnded
        state.isEnded = true
      })
      callback(...connected)
    })
  }
}

/**
 * Exactly one TCP connection to an endpoint, for one exchange at a time.
 *
 * @example
 * const socket = new EndpointSocket('http://127.0.0.1:9101')
 */
export class EndpointSocket {
  readonly #client: Client
  readonly #state: SocketState = { isEnded: false, isBroken: false, bytesRead: 0, onRead: () => {}, onConnected: () => {} }
  #isUsed = false
  #isLost = false
  #isClosed = false
  #onLost: () => void = () => {}
  #onClosed: () => void = () => {}

  constructor (origin: string, connect: buildConnector.connector = TCP_DIALER.connect) {
    this.#client = new Client(origin, {
      connect: connectOnce(this.#state, connect),
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT,
      keepAliveMaxTimeout: IDLE_TIMEOUT,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    this.#client.on('disconnect', () => this.#handleLoss())
    this.#client.on('connectionError', () => this.#handleLoss())
  }

  get isUsable (): boolean {
    return !this.#isLost && !this.#isClosed
  }

  /** Whether it has carried a request: bytes that arrive may then belong to an earlier one. */
  get isUsed (): boolean {
    return this.#isUsed
  }

  /** Sets a listener that is called once: whether the connection opened and lasted for {@link SETTLE_TIME}; not if it was closed first. */
  onConnected (listener: (isOpen: boolean) => void): void {
    this.#state.onConnected = (isOpen) => { if (isOpen || this.#isLost || !this.#isClosed) listener(isOpen) }
  }

  /** Sets a listener that is called once if the connection ends by any means other than {@link EndpointSocket.close}. */
  onLost (listener: () => void): void {
    this.#onLost = listener
  }

  /** Sets a listener that is called once when the connection ends, whichever side ended it. */
  onClosed (listener: () => void): void {
    this.#onClosed = listener
  }

  /** Sends one request; parts of the answer are passed to the listener as they arrive. */
  exchange (req: SocketRequest, listener: AnswerListener, stopper: Stopper): Promise<Result<void, SocketFailure>> {
    this.#isUsed = true
    return new Promise((resolve) => {
      const handler = new ExchangeHandler(this.#state, listener, stopper, resolve)
      const { method, path, headers, body = null } = req
      this.#client.dispatch({ method: method as Dispatcher.HttpMethod, path, headers: headers as string[], body }, handler)
    })
  }

  close (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#onClosed()
    void this.#client.destroy().catch(() => {})
  }

  #handleLoss (): void {
    if (this.#isLost) return
    this.#isLost = true
    if (this.#isClosed) return
    this.close()
    this.#onLost()
  }
}

/** Decodes headers as Latin-1, so that non-ASCII values keep their bytes. */
const rawHeadersOf = (raw: Dispatcher.DispatchController['rawHeaders']): HeaderList => {
  if (!Array.isArray(raw)) return []
  return raw.map((part) => typeof part === 'string' ? part : part.toString('latin1'))
}

/** Statuses below this one belong to interim answers, which a final answer follows. */
const FINAL_STATUS = 200
/** HTTP has no class of statuses above; callers' clients treat them in different ways. */
const MAX_STATUS = 599

const ENDLESS = 'the endpoint sends bytes that are no answer'

const isRefusal = (err: NodeJS.ErrnoException): boolean => err.code === 'ECONNREFUSED'

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #state: SocketState
  readonly #listener: AnswerListener
  readonly #stopper: Stopper
  readonly #resolve: (result: Result<void, SocketFailure>) => void
  #isSent = false
  #endsWithConnection = false
  #bytesBefore = 0
  #contentBytes = 0
  #interimAnswers = 0
  #isNoAnswer = false

  constructor (state: SocketState, listener: AnswerListener, stopper: Stopper, resolve: (result: Result<void, SocketFailure>) => void) {
    this.#state = state
    this.#listener = listener
    this.#stopper = stopper
    this.#resolve = resolve
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    const mayStart = this.#listener.mayStart?.() ?? true
    if (this.#stopper.isStopped || !mayStart) return controller.abort(new Error('stopped before it was sent'))
    this.#isSent = true
    this.#stopper.stop = () => controller.abort(new Error('stopped'))
    this.#bytesBefore = this.#state.bytesRead
    this.#state.onRead = () => this.#checkOverhead(controller)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: AnswerHeaders): void {
    if (status < FINAL_STATUS) return this.#countInterim(controller)
    if (status > MAX_STATUS) return this.#endAsNoAnswer(controller, `the endpoint answered with the invalid status ${status}`)
    const rawHeaders = rawHeadersOf(controller.rawHeaders)
    if (rawHeaders.length > 2 * MAX_ANSWER_FIELDS) return this.#endAsNoAnswer(controller, `the head of the answer has more than ${MAX_ANSWER_FIELDS} fields`)
    this.#endsWithConnection = !isFramed(headers)
    this.#listener.onStart({ status, headers, rawHeaders })
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#contentBytes += chunk.length
    this.#listener.onData(chunk)
  }

  /** An answer is complete by its own framing, or, without framing, by an orderly end of its connection. */
  onResponseEnd (): void {
    const { isEnded, isBroken } = this.#state
    const isComplete = !isEnded || (this.#endsWithConnection && !isBroken)
    if (isComplete) this.#settle(Result.ok(undefined))
    else this.#settle(Result.err({ isSent: true, isRefused: false, isNoAnswer: false, detail: 'the connection ended before the answer was complete' }))
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.#settle(Result.err({ isSent: this.#isSent, isRefused: isRefusal(err), isNoAnswer: this.#isNoAnswer, detail: err.message }))
  }

  /** Interim answers are not passed on. They are short, so that a limit in bytes alone would let thousands of them be parsed. */
  #countInterim (controller: Dispatcher.DispatchController): void {
    this.#interimAnswers++
    if (this.#interimAnswers > MAX_INTERIM_ANSWERS) this.#endAsNoAnswer(controller, ENDLESS)
  }

  /** The parser reads some parts of an answer without a limit, and passes nothing of them on. */
  #checkOverhead (controller: Dispatcher.DispatchController): void {
    const overhead = this.#state.bytesRead - this.#bytesBefore - this.#contentBytes
    if (overhead > MAX_ANSWER_OVERHEAD + OVERHEAD_FACTOR * this.#contentBytes) this.#endAsNoAnswer(controller, ENDLESS)
  }

  #endAsNoAnswer (controller: Dispatcher.DispatchController, detail: string): void {
    this.#isNoAnswer = true
    controller.abort(new Error(detail))
  }

  #settle (result: Result<void, SocketFailure>): void {
    this.#stopper.stop = undefined
    this.#state.onRead = () => {}
    this.#resolve(result)
  }
}

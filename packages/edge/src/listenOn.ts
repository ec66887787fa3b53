import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { bindServer, CallerConnections, ERROR_ANSWERS, failure, KEEP_ALIVE, nextPoll, openListener, SystemClock } from '@papayahill/common'
import type { ErrorKind, EventLog } from '@papayahill/common'
import type { ListenAddress } from '@papayahill/settings'
import type polka from 'polka'
import { CONNECTION_MARGIN, HEADERS_TIMEOUT, KEEP_ALIVE_TIMEOUT, REQUEST_TIMEOUT } from './constants.js'
import type { App } from './createApp.js'
import { EDGE_EVENTS } from './events.js'
import { encodeProblem, refuseAtEdge, sendProblem } from './problem.js'
import type { RequestIds } from './RequestIds.js'

export interface ListenOptions {
  readonly app: App
  /** Whom it is for, as the log names it. */
  readonly listener?: 'callers' | 'operators'
  readonly address: ListenAddress
  /** Maximum number of open connections. */
  readonly connections: number
  /** Maximum size of a request's headers. */
  readonly headerBytes: number
  readonly ids: RequestIds
  readonly log: EventLog
}

/** Error kinds by error code of the HTTP parser. */
const PARSER_ERROR_KINDS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headers-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'slow-caller'
}

const PARSER_ERROR_DETAILS: Readonly<Partial<Record<ErrorKind, string>>> = {
  'headers-too-large': 'send fewer or shorter headers',
  'slow-caller': 'the request was not complete in time'
}

/**
 * One HTTP listener with limits.
 *
 * @example
 * const listener = await listenOn({ app, address, connections, headerBytes, ids, log })
 * listener.port
 */
export class EdgeListener {
  readonly #server: Server
  #isClosing = false

  constructor (server: Server) {
    this.#server = server
    server.prependListener('request', (_req, res: ServerResponse) => {
      if (this.#isClosing) res.setHeader('connection', 'close')
      res.on('close', () => this.#closeIdle())
    })
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  /** Accepts no more connections, lets running answers finish and closes idle connections. */
  async close (): Promise<void> {
    this.#isClosing = true
    // A connection is not idle if its request has arrived and is not read yet.
    await nextPoll()
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve())
      this.#closeIdle()
    })
  }

  /** A keep-alive connection whose answer has ended must not delay a planned stop. */
  #closeIdle (): void {
    if (this.#isClosing) setImmediate(() => this.#server.closeIdleConnections())
  }

  /** Closes all connections, also those with running answers. */
  terminate (): void {
    this.#server.closeAllConnections()
  }
}

type ParserError = Error & { readonly code?: string }

const answerParserError = (options: ListenOptions, known: CallerConnections, err: ParserError, socket: Socket): void => {
  if (!socket.writable || socket.bytesWritten > 0) {
    socket.destroy()
    return
  }
  const kind = PARSER_ERROR_KINDS[err.code ?? ''] ?? 'bad-request'
  const detail = PARSER_ERROR_DETAILS[kind] ?? 'the bytes are not valid HTTP'
  const id = options.ids.next()
  const body = JSON.stringify(encodeProblem(failure(kind, detail, 'unknown'), id))
  const { status } = ERROR_ANSWERS[kind]
  known.refuse(socket, [
    `HTTP/1.1 ${status} Refused`, 'content-type: application/problem+json', `x-request-id: ${id}`,
    `content-length: ${Buffer.byteLength(body)}`, 'connection: close', '', body
  ].join('\r\n'))
}

/** An exception in route matching must not end the process. */
const handleSafely = ({ app, log, ids }: ListenOptions, req: polka.Request, res: ServerResponse): void => {
  try {
    app.handler(req, res)
  } catch (err) {
    log.emit(EDGE_EVENTS.handlerFailed, { path: req.url, detail: String(err) })
    sendProblem(res, failure('internal', 'internal error', 'unknown'), ids.next())
  }
}

/**
 * Opens a listener as soon as its address can be bound. Connections above the limit get an error answer; those
 * above the limit and its margin are dropped.
 */
export const listenOn = async (options: ListenOptions): Promise<EdgeListener> => {
  const { address, connections, log, listener: name } = options
  let openConnections = 0
  const aboveLimit = new WeakSet<Socket>()
  const clock = new SystemClock()
  const known = new CallerConnections(clock)
  const onRequest = (req: IncomingMessage, res: ServerResponse): void => {
    if (!known.accept(req, res)) return
    if (!aboveLimit.has(req.socket)) return handleSafely(options, req as polka.Request, res)
    res.setHeader('connection', 'close')
    const isKeyed = req.headers['idempotency-key'] !== undefined
    sendProblem(res, refuseAtEdge('too-many-connections', 'this instance has reached its connection limit', isKeyed), options.ids.next())
  }
  const server = createServer({
    ...KEEP_ALIVE,
    maxHeaderSize: options.headerBytes,
    headersTimeout: HEADERS_TIMEOUT,
    requestTimeout: REQUEST_TIMEOUT,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT
  }, onRequest)
  server.maxConnections = connections + CONNECTION_MARGIN
  server.on('connection', (socket) => {
    openConnections++
    if (openConnections > connections) aboveLimit.add(socket)
    if (openConnections === connections + 1) log.emit(EDGE_EVENTS.connectionsUsedUp, { limit: connections })
    socket.on('close', () => { openConnections-- })
  })
  server.on('clientError', (err: Error, socket) => answerParserError(options, known, err, socket as Socket))
  const report = (err: Error): void => log.emit(EDGE_EVENTS.listenerFailed, { ip: address.ip, listener: name, detail: err.message })
  await openListener({ clock, open: () => bindServer(server, address, report), onBlocked: report, isClosed: () => false })
  const listener = new EdgeListener(server)
  log.emit(EDGE_EVENTS.listening, { listener: name, ip: address.ip, port: listener.port })
  return listener
}

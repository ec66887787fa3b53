import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from './Clock.js'
import { millis } from './units.js'

/** Time after which a refused connection is closed even if the caller does not close it. */
const REFUSED_LINGER = millis(1000)

/**
 * The connections of an HTTP server, some of them refused because their bytes were malformed or late. Nothing that arrives on a
 * refused connection becomes a request, since its caller was told that nothing ran.
 *
 * @example
 * server.on('request', (req, res) => { if (connections.accept(req, res)) handle(req, res) })
 * server.on('clientError', (_err, socket) => connections.refuse(socket, 'HTTP/1.1 400 Bad Request\r\n\r\n'))
 */
export class CallerConnections {
  readonly #clock: Clock
  readonly #refused = new WeakSet<Socket>()
  /** Requests without a complete answer, by connection. */
  readonly #open = new WeakMap<Socket, Map<IncomingMessage, ServerResponse>>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Records a request; false if its connection was refused, so that it must not be served. */
  accept (req: IncomingMessage, res: ServerResponse): boolean {
    const { socket } = req
    if (this.#refused.has(socket)) return false
    const open = this.#open.get(socket) ?? new Map<IncomingMessage, ServerResponse>()
    this.#open.set(socket, open.set(req, res))
    res.once('close', () => {
      open.delete(req)
      if (open.size === 0 && this.#refused.has(socket)) socket.destroySoon()
    })
    return true
  }

  isRefused (socket: Socket): boolean {
    return this.#refused.has(socket)
  }

  /** Ends a connection with an answer; one that still owes an answer to a whole request ends with that one instead. */
  refuse (socket: Socket, answer: string): void {
    if (this.#refused.has(socket)) return
    this.#refused.add(socket)
    const open = [...this.#open.get(socket) ?? []]
    const owed = open.filter(([req]) => req.complete)
    for (const [, res] of owed) res.shouldKeepAlive = false
    if (owed.length > 0) return
    // A request whose body is not read whole ends with its connection.
    socket.end(answer, open.length > 0 ? () => socket.destroy() : undefined)
    this.#clock.after(REFUSED_LINGER, () => socket.destroy())
  }
}

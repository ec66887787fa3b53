import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Json } from '@papayahill/common'
import polka from 'polka'

const LOOPBACK = '127.0.0.1'
/** Long enough that idle connections outlast any pause between two calls of a session. */
const KEEP_ALIVE_MS = 600_000

export type StandInRequest = polka.Request
export type StandInResponse = ServerResponse

/** A route's handler; errors it throws are answered with status 500. */
export type StandInHandler = (req: StandInRequest, res: StandInResponse) => void | Promise<void>

export interface StandInRoute {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly handle: StandInHandler
}

/** Reads a body as JSON; null if it is empty. */
export const readJson = async (req: IncomingMessage): Promise<Json> => {
  const parts: Buffer[] = []
  for await (const part of req) parts.push(part as Buffer)
  const text = Buffer.concat(parts).toString()
  return text === '' ? null : JSON.parse(text) as Json
}

export const sendJson = (
  res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}
): void => {
  res.writeHead(status, { 'content-type': 'application/json', ...headers })
  res.end(JSON.stringify(body))
}

/** Routes that read and change the injected faults while the stand-in runs. */
export const faultRoutes = (faults: object): readonly StandInRoute[] => [
  { method: 'GET', path: '/faults', handle: (_req, res) => sendJson(res, 200, faults) },
  {
    method: 'PUT',
    path: '/faults',
    handle: async (req, res) => {
      Object.assign(faults, await readJson(req))
      sendJson(res, 200, faults)
    }
  }
]

/**
 * One stand-in's HTTP listener on loopback.
 *
 * @example
 * const server = await HttpStandIn.listen([{ method: 'GET', path: '/x', handle }])
 * server.origin // 'http://127.0.0.1:40123'
 */
export class HttpStandIn {
  readonly port: number
  readonly #server: Server

  private constructor (server: Server) {
    this.#server = server
    this.port = (server.address() as AddressInfo).port
  }

  static async listen (routes: readonly StandInRoute[], port = 0): Promise<HttpStandIn> {
    const app = polka()
    for (const route of routes) {
      const handle = (req: StandInRequest, res: StandInResponse): void => { void answer(route.handle, req, res) }
      app.add(route.method, route.path, handle as unknown as polka.Middleware)
    }
    return await HttpStandIn.serve((req, res) => { app.handler(req as StandInRequest, res) }, port)
  }

  /** Handles all requests with one listener, without routing. */
  static async serve (listener: RequestListener, port = 0): Promise<HttpStandIn> {
    const server = createServer(listener)
    server.keepAliveTimeout = KEEP_ALIVE_MS
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, LOOPBACK, resolve)
    })
    return new HttpStandIn(server)
  }

  get origin (): string {
    return `http://${LOOPBACK}:${this.port}`
  }

  /** Closes all connections, as if the process had died, but keeps listening. */
  closeAllConnections (): void {
    this.#server.closeAllConnections()
  }

  /** Refuses new connections and closes idle ones; running calls finish. */
  stopListening (): Promise<void> {
    return new Promise((resolve) => { this.#server.close(() => resolve()) })
  }

  close (): Promise<void> {
    const closed = new Promise<void>((resolve) => { this.#server.close(() => resolve()) })
    this.#server.closeAllConnections()
    return closed
  }
}

const answer = async (handle: StandInHandler, req: StandInRequest, res: StandInResponse): Promise<void> => {
  try {
    await handle(req, res)
  } catch (err) {
    if (res.headersSent) res.destroy()
    else sendJson(res, 500, { error: String(err) })
  }
}

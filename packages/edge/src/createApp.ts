import type { ServerResponse } from 'node:http'
import { failure } from '@papayahill/common'
import type { EventLog, Failure, RequestId } from '@papayahill/common'
import polka from 'polka'
import { EDGE_EVENTS } from './events.js'
import { refuseAtEdge, sendProblem } from './problem.js'
import type { RequestIds } from './RequestIds.js'

export type Method = 'GET' | 'POST' | 'DELETE'

const METHODS: readonly Method[] = ['GET', 'POST', 'DELETE']

/** One request and its answer, with its id. */
export interface Exchange {
  readonly id: RequestId
  readonly req: polka.Request
  readonly res: ServerResponse
}

/** One route of a listener; parameters in `path` are written as `:name`. */
export interface Route {
  readonly method: Method
  readonly path: string
  handle (exchange: Exchange): Promise<void> | void
}

export interface AppOptions {
  readonly routes: readonly Route[]
  readonly ids: RequestIds
  readonly log: EventLog
}

export type App = polka.Polka

/** Sends a 200 answer with JSON. */
export const sendJson = (
  { id, res }: Exchange, body: unknown, headers: Readonly<Record<string, string>> = {}
): void => {
  const text = JSON.stringify(body)
  res.writeHead(200, {
    'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'x-request-id': id, ...headers
  })
  res.end(text)
}

export const sendText = ({ id, res }: Exchange, status: number, text: string): void => {
  res.writeHead(status, { 'content-type': 'text/plain; charset=utf-8', 'x-request-id': id })
  res.end(text)
}

/** Whether the request has an idempotency key, so that an earlier attempt may have run. */
export const hasIdempotencyKey = ({ req }: Exchange): boolean => req.headers['idempotency-key'] !== undefined

const runRoute = async (route: Route, exchange: Exchange, log: EventLog): Promise<void> => {
  try {
    await route.handle(exchange)
  } catch (err) {
    log.emit(EDGE_EVENTS.handlerFailed, { request: exchange.id, path: route.path, detail: String(err) })
    if (exchange.res.headersSent) exchange.res.destroy()
    else sendProblem(exchange.res, failure('internal', 'internal error; report the request id to the operators', 'unknown'), exchange.id)
  }
}

const noRouteFailure = (app: App, req: polka.Request): Failure => {
  const isKnown = METHODS.some((method) => Boolean(app.find(method, req.path)))
  const isKeyed = req.headers['idempotency-key'] !== undefined
  return isKnown
    ? refuseAtEdge('method-not-allowed', `${req.method} is not supported at this path`, isKeyed)
    : refuseAtEdge('unknown-resource', 'this path does not exist', isKeyed)
}

/**
 * Creates the app of a listener; every answer carries a request id, and every error is sent as problem details.
 *
 * @example
 * const app = createApp({ routes, ids, log })
 */
export const createApp = (options: AppOptions): App => {
  const app: App = polka({
    onNoMatch: (req, res) => sendProblem(res, noRouteFailure(app, req), options.ids.next())
  })
  for (const route of options.routes) {
    const handle = (req: polka.Request, res: ServerResponse): void => {
      void runRoute(route, { id: options.ids.next(), req, res }, options.log)
    }
    app.add(route.method, route.path, handle as unknown as polka.Middleware)
  }
  return app
}

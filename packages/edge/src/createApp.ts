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

/** One path that a listener answers; `path` names its parameters as `:name`. */
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

/** Answers 200 with JSON. */
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

/** Whether the request names a key, so that an earlier attempt may have run. */
export const hasKey = ({ req }: Exchange): boolean => req.headers['idempotency-key'] !== undefined

const runRoute = async (route: Route, exchange: Exchange, log: EventLog): Promise<void> => {
  try {
    await route.handle(exchange)
  } catch (err) {
    log.emit(EDGE_EVENTS.handlerFailed, { request: exchange.id, path: route.path, detail: String(err) })
    if (exchange.res.headersSent) exchange.res.destroy()
    else sendProblem(exchange.res, failure('internal', 'a fault of the instance; give its operators the request id', 'unknown'), exchange.id)
  }
}

const noRoute = (app: App, req: polka.Request): Failure => {
  const isKnown = METHODS.some((method) => Boolean(app.find(method, req.path)))
  const isKeyed = req.headers['idempotency-key'] !== undefined
  return isKnown
    ? refuseAtEdge('method-not-allowed', `${req.method} is not offered at this path`, isKeyed)
    : refuseAtEdge('unknown-resource', 'there is nothing at this path', isKeyed)
}

/**
 * Builds a listener's routes; every answer carries a request id, every error problem details.
 *
 * @example
 * const app = createApp({ routes, ids, log })
 */
export const createApp = (options: AppOptions): App => {
  const app: App = polka({
    onNoMatch: (req, res) => sendProblem(res, noRoute(app, req), options.ids.next())
  })
  for (const route of options.routes) {
    const handle = (req: polka.Request, res: ServerResponse): void => {
      void runRoute(route, { id: options.ids.next(), req, res }, options.log)
    }
    app.add(route.method, route.path, handle as unknown as polka.Middleware)
  }
  return app
}

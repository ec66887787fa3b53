import type { Clock, InstanceId, Json } from '@papayahill/common'
import { brand, isJsonObject } from '@papayahill/common'
import type { CallError, StageCall } from '@papayahill/endpoints'
import type { FakeEndpoint } from '../FakeEndpoint.js'
import { answerCompletion } from './completions.js'
import { EventFeed } from './EventFeed.js'
import { faultRoutes, HttpStandIn, readJson, sendJson } from './HttpStandIn.js'
import type { StandInRequest, StandInResponse, StandInRoute } from './HttpStandIn.js'
import { OrderReceiver } from './OrderReceiver.js'
import { readCall } from './readCall.js'

export interface ServeEndpointOptions {
  readonly endpoint: FakeEndpoint
  readonly clock: Clock
  /** 0 picks a free port. */
  readonly port?: number
  /** Whether orders with an old fencing token are rejected. */
  readonly checksFencing?: boolean
}

/** An endpoint's listener; `orders` records the orders it accepted. */
export interface EndpointServer {
  readonly server: HttpStandIn
  readonly orders: readonly Json[]
  close (): Promise<void>
}

const STATUS_OF: Readonly<Partial<Record<CallError['outcome'], number>>> = { refused: 503, cancelled: 499 }

const callOptions = (req: StandInRequest, res: StandInResponse): { signal: AbortSignal, instance: InstanceId | undefined } => {
  const abort = new AbortController()
  res.on('close', () => { if (!res.writableFinished) abort.abort() })
  const sender = req.headers['x-instance']
  return { signal: abort.signal, instance: typeof sender === 'string' ? brand<InstanceId>(sender) : undefined }
}

/** Answers one call to a service of a kind other than engine. */
const answerCall = async (
  endpoint: FakeEndpoint, req: StandInRequest, res: StandInResponse, call: StageCall
): Promise<void> => {
  const { signal, instance } = callOptions(req, res)
  const result = await endpoint.serve(call, () => {}, signal, instance)
  if (res.destroyed) return
  if (result.isOk) {
    const { call: echo, body, usage } = result.value
    return sendJson(res, 200, { id: `${echo.request}/${echo.stage}/${echo.attempt}`, output: body, usage })
  }
  if (result.error.outcome === 'cut') res.destroy()
  else sendJson(res, STATUS_OF[result.error.outcome] ?? 500, { detail: result.error.detail, usage: result.error.usage })
}

const callRoutes = (endpoint: FakeEndpoint): readonly StandInRoute[] => [
  {
    method: 'POST',
    path: '/v1/completions',
    handle: async (req, res) => {
      const call = readCall(endpoint, req, await readJson(req))
      const { signal, instance } = callOptions(req, res)
      await answerCompletion(endpoint, res, call, signal, instance)
    }
  },
  ...['encode', 'retrieve', 'rerank', 'call'].map((verb): StandInRoute => ({
    method: 'POST',
    path: `/v1/${verb}`,
    handle: async (req, res) => { await answerCall(endpoint, req, res, readCall(endpoint, req, await readJson(req))) }
  }))
]

const stateRoutes = (endpoint: FakeEndpoint): readonly StandInRoute[] => [
  { method: 'GET', path: '/v1/identity', handle: (_req, res) => sendJson(res, 200, { incarnation: endpoint.incarnation }) },
  {
    method: 'GET',
    path: '/v1/load',
    handle: (_req, res) => {
      if (endpoint.faults.isSilent) sendJson(res, 503, { detail: 'no report now' })
      else sendJson(res, 200, endpoint.report())
    }
  },
  {
    method: 'GET',
    path: '/v1/keys/:key',
    handle: (req, res) => sendJson(res, 200, endpoint.keyStatus(brand(decodeURIComponent(req.params.key ?? ''))))
  },
  {
    method: 'PUT',
    path: '/restart',
    handle: async (req, res) => {
      const body = await readJson(req)
      endpoint.restart({ isSilent: isJsonObject(body) && body.isSilent === true })
      sendJson(res, 200, { incarnation: endpoint.incarnation })
    }
  }
]

const withIncarnation = (endpoint: FakeEndpoint, route: StandInRoute): StandInRoute => ({
  ...route,
  handle: (req, res) => {
    res.setHeader('x-incarnation', endpoint.incarnation)
    return route.handle(req, res)
  }
})

/**
 * Serves one endpoint over HTTP: calls by kind (`POST /v1/completions`, `encode`, `retrieve`, `rerank`,
 * `call`), `GET /v1/identity`, `GET /v1/load`, `GET /v1/events` (SSE), `GET /v1/keys/:key`, `POST /v1/orders`,
 * and for operators of the stand-in `PUT /faults` and `PUT /restart`. Each answer has the incarnation in `x-incarnation`.
 *
 * @example
 * const { server } = await serveEndpoint({ endpoint, clock, port: 9101 })
 */
export const serveEndpoint = async (options: ServeEndpointOptions): Promise<EndpointServer> => {
  const { endpoint, clock } = options
  const orderReceiver = new OrderReceiver(options.checksFencing ?? false)
  const feed = new EventFeed(endpoint, clock)
  const routes: readonly StandInRoute[] = [
    ...callRoutes(endpoint),
    ...stateRoutes(endpoint),
    { method: 'GET', path: '/v1/events', handle: feed.handle },
    { method: 'POST', path: '/v1/orders', handle: orderReceiver.handle },
    ...faultRoutes(endpoint.faults)
  ]
  const server = await HttpStandIn.listen(routes.map((route) => withIncarnation(endpoint, route)), options.port)
  endpoint.onRestart((isSilent) => { if (!isSilent) server.closeAllConnections() })
  return {
    server,
    orders: orderReceiver.orders,
    close: () => {
      feed.close()
      return server.close()
    }
  }
}

import type { FakeObjectStore } from '../FakeObjectStore.js'
import { faultRoutes, HttpStandIn, readJson, sendJson } from './HttpStandIn.js'
import type { StandInRequest } from './HttpStandIn.js'

const nameOf = (req: StandInRequest): string => decodeURIComponent(req.params.name ?? '')

/**
 * Serves an object store over HTTP: `GET` and `PUT /v1/objects/:name`, `PUT /faults`.
 *
 * @example
 * const server = await serveObjects(new FakeObjectStore(clock), 9001)
 */
export const serveObjects = (objects: FakeObjectStore, port = 0): Promise<HttpStandIn> => HttpStandIn.listen([
  {
    method: 'GET',
    path: '/v1/objects/:name',
    handle: async (req, res) => {
      const result = await objects.get(nameOf(req))
      if (result.isErr) sendJson(res, 503, { detail: 'the object store is down' })
      else if (result.value === undefined) sendJson(res, 404, { detail: 'no such object' })
      else sendJson(res, 200, result.value)
    }
  },
  {
    method: 'PUT',
    path: '/v1/objects/:name',
    handle: async (req, res) => {
      const result = await objects.put(nameOf(req), await readJson(req))
      if (result.isErr) sendJson(res, 503, { detail: 'the object store is down' })
      else sendJson(res, 200, {})
    }
  },
  ...faultRoutes(objects.faults)
], port)

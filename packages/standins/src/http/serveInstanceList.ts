import { hash64 } from '@papayahill/common'
import type { EndpointId, InstanceId } from '@papayahill/common'
import type { ListedEndpoint, ListedInstance } from '@papayahill/stores'
import type { FakeInstanceList } from '../FakeInstanceList.js'
import { faultRoutes, HttpStandIn, readJson, sendJson } from './HttpStandIn.js'

/**
 * Serves the instance list over HTTP: `GET /v1/instances` with `If-None-Match`; operators of the
 * stand-ins change it with `PUT /endpoints`, `PUT /instances`, `PUT /endpoints/:id/gone`, `PUT /instances/:id/gone`
 * and `PUT /faults` (`lag`, `isDown`, `isEmpty`).
 *
 * @example
 * const server = await serveInstanceList(new FakeInstanceList(clock), 9002)
 */
export const serveInstanceList = (list: FakeInstanceList, port = 0): Promise<HttpStandIn> => HttpStandIn.listen([
  {
    method: 'GET',
    path: '/v1/instances',
    handle: async (req, res) => {
      const result = await list.list()
      if (result.isErr) return sendJson(res, 503, { detail: 'the instance list is down' })
      const etag = `"${hash64(JSON.stringify(result.value))}"`
      if (req.headers['if-none-match'] !== etag) return sendJson(res, 200, result.value, { etag })
      res.writeHead(304, { etag })
      res.end()
    }
  },
  {
    method: 'PUT',
    path: '/endpoints',
    handle: async (req, res) => {
      const endpoint = await readJson(req) as unknown as ListedEndpoint
      list.setEndpoint(endpoint)
      sendJson(res, 200, endpoint)
    }
  },
  {
    method: 'PUT',
    path: '/endpoints/:id/gone',
    handle: (req, res) => {
      list.removeEndpoint(req.params.id as EndpointId)
      sendJson(res, 200, {})
    }
  },
  {
    method: 'PUT',
    path: '/instances',
    handle: async (req, res) => {
      const instance = await readJson(req) as unknown as ListedInstance
      list.setInstance(instance)
      sendJson(res, 200, instance)
    }
  },
  {
    method: 'PUT',
    path: '/instances/:id/gone',
    handle: (req, res) => {
      list.removeInstance(req.params.id as InstanceId)
      sendJson(res, 200, {})
    }
  },
  ...faultRoutes(list)
], port)

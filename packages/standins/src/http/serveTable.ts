import { hash64 } from '@papayahill/common'
import type { Row, RowKey, StoreError, Transaction } from '@papayahill/stores'
import type { FakeTable } from '../FakeTable.js'
import { faultRoutes, HttpStandIn, readJson, sendJson } from './HttpStandIn.js'
import type { StandInRequest, StandInResponse } from './HttpStandIn.js'

const SCAN_LIMIT = 1000

const sendError = (res: StandInResponse, error: StoreError): void => {
  if (error.kind === 'conflict') sendJson(res, 412, { rows: error.rows })
  else if (error.kind === 'unavailable') sendJson(res, 503, { detail: error.detail }, { 'retry-after': '1' })
  else res.destroy()
}

const etagOf = (row: Row): string => `"${row.version}-${hash64(JSON.stringify(row.value))}"`

const sendRow = (req: StandInRequest, res: StandInResponse, row: Row): void => {
  const etag = etagOf(row)
  if (req.headers['if-none-match'] === etag) {
    res.writeHead(304, { etag })
    res.end()
    return
  }
  sendJson(res, 200, { rows: [row] }, { etag })
}

/**
 * Serves a table over HTTP: `GET /v1/rows/:key` with `If-None-Match`, `GET /v1/rows?prefix=`,
 * `POST /v1/read`, `POST /v1/transactions` (412 returns the rows whose condition failed), `PUT /faults`.
 * With a lost answer, the connection breaks after the commit took effect.
 *
 * @example
 * const server = await serveTable(new FakeTable(clock, random), 9000)
 */
export const serveTable = (table: FakeTable, port = 0): Promise<HttpStandIn> => HttpStandIn.listen([
  {
    method: 'GET',
    path: '/v1/rows/:key',
    handle: async (req, res) => {
      const result = await table.read([decodeURIComponent(req.params.key ?? '') as RowKey])
      if (result.isErr) sendError(res, result.error)
      else sendRow(req, res, result.value[0]!)
    }
  },
  {
    method: 'GET',
    path: '/v1/rows',
    handle: async (req, res) => {
      const query = new URLSearchParams(req.search ?? '')
      const after = query.get('after') as RowKey | null
      const result = await table.scan(query.get('prefix') ?? '', after ?? undefined, Number(query.get('limit') ?? SCAN_LIMIT))
      if (result.isErr) sendError(res, result.error)
      else sendJson(res, 200, { rows: result.value })
    }
  },
  {
    method: 'POST',
    path: '/v1/read',
    handle: async (req, res) => {
      const body = await readJson(req) as unknown as { readonly keys: readonly RowKey[] }
      const result = await table.read(body.keys)
      if (result.isErr) sendError(res, result.error)
      else sendJson(res, 200, { rows: result.value })
    }
  },
  {
    method: 'POST',
    path: '/v1/transactions',
    handle: async (req, res) => {
      const result = await table.commit(await readJson(req) as unknown as Transaction)
      if (result.isErr) sendError(res, result.error)
      else sendJson(res, 200, { rows: result.value.rows })
    }
  },
  ...faultRoutes(table.faults)
], port)

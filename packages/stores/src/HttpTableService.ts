import type { EventLog, Json } from '@papayahill/common'
import { Result } from 'true-myth'
import { readBody, readResult, ROWS, writeStatusError, writeNetworkError } from './responses.js'
import { MAX_CACHED_ROWS } from './constants.js'
import { PLATFORM_EVENTS } from './events.js'
import { HttpExchange } from './HttpExchange.js'
import type { HttpResponse, HttpExchangeOptions } from './HttpExchange.js'
import type { Commit, Row, RowKey, StoreError, TableService, Transaction } from './types.js'

type Rows = readonly Row[]

interface CachedRow {
  readonly etag: string
  readonly row: Row
}

/**
 * The table service over HTTP. A single row is read by a conditional request, so that an unchanged row is not
 * transferred again; reads of several rows and transactions are POST requests.
 *
 * @example
 * const table = new HttpTableService({ origin: 'http://127.0.0.1:9000', clock, log })
 * const rows = await table.read([rowKey])
 */
export class HttpTableService implements TableService {
  readonly #exchange: HttpExchange
  readonly #log: EventLog
  readonly #cache = new Map<RowKey, CachedRow>()

  constructor (options: HttpExchangeOptions) {
    this.#exchange = new HttpExchange(options)
    this.#log = options.log
  }

  async read (keys: readonly RowKey[]): Promise<Result<Rows, StoreError>> {
    const [first] = keys
    if (first !== undefined && keys.length === 1) return await this.#readOne(first)
    const result = await this.#exchange.send({ method: 'POST', path: '/v1/read', body: { keys } })
    return readResult(result, ROWS).map((body) => body.rows)
  }

  async scan (prefix: string, after: RowKey | undefined, limit: number): Promise<Result<Rows, StoreError>> {
    const query = new URLSearchParams({ prefix, limit: String(limit), ...(after === undefined ? {} : { after }) })
    const result = await this.#exchange.send({ method: 'GET', path: `/v1/rows?${query}` })
    return readResult(result, ROWS).map((body) => body.rows)
  }

  async commit (transaction: Transaction): Promise<Result<Commit, StoreError>> {
    const body = { conditions: transaction.conditions, writes: transaction.writes } as unknown as Json
    const result = await this.#exchange.send({ method: 'POST', path: '/v1/transactions', body })
    const commit = result.isErr ? Result.err<Commit, StoreError>(writeNetworkError(result.error)) : this.#readCommit(result.value)
    if (commit.isErr && commit.error.kind === 'unknown') {
      this.#log.emit(PLATFORM_EVENTS.answerLost, { detail: commit.error.detail })
    }
    return commit
  }

  close (): Promise<void> {
    return this.#exchange.close()
  }

  async #readOne (key: RowKey): Promise<Result<Rows, StoreError>> {
    const cached = this.#cache.get(key)
    const headers = cached === undefined ? undefined : { 'if-none-match': cached.etag }
    const path = `/v1/rows/${encodeURIComponent(key)}`
    const result = await this.#exchange.send({ method: 'GET', path, headers })
    if (result.isOk && result.value.status === 304 && cached !== undefined) return Result.ok([cached.row])
    const rows = readResult(result, ROWS).map((body) => body.rows)
    if (rows.isOk && result.isOk) this.#cacheRow(key, result.value.etag, rows.value[0])
    return rows
  }

  #readCommit (response: HttpResponse): Result<Commit, StoreError> {
    if (response.status !== 200 && response.status !== 412) return Result.err(writeStatusError(response))
    const body = readBody(response, ROWS)
    if (body === undefined) {
      this.#log.emit(PLATFORM_EVENTS.answerMalformed, { status: response.status })
      return Result.err({ kind: 'unknown', detail: 'the platform sent a malformed response' })
    }
    return response.status === 412 ? Result.err({ kind: 'conflict', rows: body.rows }) : Result.ok({ rows: body.rows })
  }

  #cacheRow (key: RowKey, etag: string | undefined, row: Row | undefined): void {
    this.#cache.delete(key)
    if (etag === undefined || row === undefined) return
    this.#cache.set(key, { etag, row })
    if (this.#cache.size <= MAX_CACHED_ROWS) return
    const [oldest] = this.#cache.keys()
    if (oldest !== undefined) this.#cache.delete(oldest)
  }
}

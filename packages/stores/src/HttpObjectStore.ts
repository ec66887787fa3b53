import type { Json } from '@papayahill/common'
import { Result } from 'true-myth'
import { z } from 'zod'
import { readNetworkError, readResult, writeStatusError, writeNetworkError } from './responses.js'
import { HttpExchange } from './HttpExchange.js'
import type { HttpExchangeOptions } from './HttpExchange.js'
import type { ObjectStore, StoreError } from './types.js'

const ANY_JSON = z.json() as z.ZodType<Json>

const pathOf = (name: string): string => `/v1/objects/${encodeURIComponent(name)}`

/**
 * The object store over HTTP.
 *
 * @example
 * const objects = new HttpObjectStore({ origin: 'http://127.0.0.1:9001', clock, log })
 * await objects.put('config/snapshot/12', snapshot)
 */
export class HttpObjectStore implements ObjectStore {
  readonly #exchange: HttpExchange

  constructor (options: HttpExchangeOptions) {
    this.#exchange = new HttpExchange(options)
  }

  async get (name: string): Promise<Result<Json | undefined, StoreError>> {
    const result = await this.#exchange.send({ method: 'GET', path: pathOf(name) })
    if (result.isErr) return Result.err(readNetworkError(result.error))
    if (result.value.status === 404) return Result.ok(undefined)
    return readResult(result, ANY_JSON)
  }

  async put (name: string, value: Json): Promise<Result<void, StoreError>> {
    const result = await this.#exchange.send({ method: 'PUT', path: pathOf(name), body: value })
    if (result.isErr) return Result.err(writeNetworkError(result.error))
    return result.value.status < 300 ? Result.ok(undefined) : Result.err(writeStatusError(result.value))
  }

  close (): Promise<void> {
    return this.#exchange.close()
  }
}

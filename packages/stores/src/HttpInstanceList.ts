import { Result } from 'true-myth'
import { LISTING, readResult } from './responses.js'
import { HttpExchange } from './HttpExchange.js'
import type { HttpExchangeOptions } from './HttpExchange.js'
import type { InstanceList, InstanceListing, StoreError } from './types.js'

interface CachedListing {
  readonly etag: string
  readonly listing: InstanceListing
}

/**
 * The list of instances over HTTP, read by conditional requests so that an unchanged list is not transferred again.
 *
 * @example
 * const list = new HttpInstanceList({ origin: 'http://127.0.0.1:9002', clock, log })
 */
export class HttpInstanceList implements InstanceList {
  readonly #exchange: HttpExchange
  #cached: CachedListing | undefined

  constructor (options: HttpExchangeOptions) {
    this.#exchange = new HttpExchange(options)
  }

  async list (): Promise<Result<InstanceListing, StoreError>> {
    const headers = this.#cached === undefined ? undefined : { 'if-none-match': this.#cached.etag }
    const result = await this.#exchange.send({ method: 'GET', path: '/v1/instances', headers })
    if (result.isOk && result.value.status === 304 && this.#cached !== undefined) return Result.ok(this.#cached.listing)
    const listing = readResult(result, LISTING)
    if (listing.isOk && result.isOk) {
      const { etag } = result.value
      this.#cached = etag === undefined ? undefined : { etag, listing: listing.value }
    }
    return listing
  }

  close (): Promise<void> {
    return this.#exchange.close()
  }
}

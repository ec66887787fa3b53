import { Result } from 'true-myth'
import { LISTING, readResult } from './answers.js'
import { HttpExchange } from './HttpExchange.js'
import type { HttpExchangeOptions } from './HttpExchange.js'
import type { InstanceList, InstanceListing, StoreError } from './types.js'

interface KeptListing {
  readonly etag: string
  readonly listing: InstanceListing
}

/**
 * The list of instances over HTTP; an unchanged list is not sent again.
 *
 * @example
 * const list = new HttpInstanceList({ origin: 'http://127.0.0.1:9002', clock, log })
 */
export class HttpInstanceList implements InstanceList {
  readonly #exchange: HttpExchange
  #kept: KeptListing | undefined

  constructor (options: HttpExchangeOptions) {
    this.#exchange = new HttpExchange(options)
  }

  async list (): Promise<Result<InstanceListing, StoreError>> {
    const headers = this.#kept === undefined ? undefined : { 'if-none-match': this.#kept.etag }
    const result = await this.#exchange.send({ method: 'GET', path: '/v1/instances', headers })
    if (result.isOk && result.value.status === 304 && this.#kept !== undefined) return Result.ok(this.#kept.listing)
    const listing = readResult(result, LISTING)
    if (listing.isOk && result.isOk) {
      const { etag } = result.value
      this.#kept = etag === undefined ? undefined : { etag, listing: listing.value }
    }
    return listing
  }

  close (): Promise<void> {
    return this.#exchange.close()
  }
}

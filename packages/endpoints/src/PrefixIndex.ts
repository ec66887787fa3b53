import type { EndpointId, EndpointIncarnation } from '@papayahill/common'
import { LRUCache } from 'lru-cache'
import type { CacheEvent } from './types.js'

/** Prefixes that one instance remembers. */
const PREFIXES_MAX = 20_000
/** Holders remembered of one prefix. */
const HOLDERS_MAX = 4

interface Holder {
  readonly endpoint: EndpointId
  readonly incarnation: EndpointIncarnation
}

/**
 * Which endpoints probably hold a prompt prefix: from the engines' late and gappy events, and at once from
 * this instance's own sending. It is only a hint; a wrong one costs a read of the prompt, never an error.
 *
 * @example
 * const index = new PrefixIndex()
 * index.hear(event)
 * index.holders(prefix)
 */
export class PrefixIndex {
  readonly #holders = new LRUCache<string, readonly Holder[]>({ max: PREFIXES_MAX })
  readonly #forgotten = new Map<EndpointId, number>()
  readonly #marks = new WeakMap<Holder, number>()

  hear (event: CacheEvent): void {
    if (event.kind === 'stored') this.#add(event.prefix, event)
    else if (event.kind === 'evicted') this.#remove(event.prefix, event.endpoint)
    else this.forget(event.endpoint)
  }

  /** This instance sent a prompt with the prefix there, so that it will soon be cached. */
  sent (endpoint: EndpointId, incarnation: EndpointIncarnation, prefix: string): void {
    this.#add(prefix, { endpoint, incarnation })
  }

  /** Everything known of an endpoint is void, as after a restart. */
  forget (endpoint: EndpointId): void {
    this.#forgotten.set(endpoint, this.#mark(endpoint) + 1)
  }

  /** Endpoints that probably hold the prefix, the latest first. */
  holders (prefix: string): readonly EndpointId[] {
    const holders = this.#holders.get(prefix) ?? []
    return holders.filter((holder) => this.#marks.get(holder) === this.#mark(holder.endpoint)).map((holder) => holder.endpoint)
  }

  #add (prefix: string, { endpoint, incarnation }: Holder): void {
    const others = (this.#holders.get(prefix) ?? []).filter((holder) => holder.endpoint !== endpoint)
    const holder = { endpoint, incarnation }
    this.#marks.set(holder, this.#mark(endpoint))
    this.#holders.set(prefix, [holder, ...others].slice(0, HOLDERS_MAX))
  }

  #remove (prefix: string, endpoint: EndpointId): void {
    const others = (this.#holders.get(prefix) ?? []).filter((holder) => holder.endpoint !== endpoint)
    this.#holders.set(prefix, others)
  }

  #mark (endpoint: EndpointId): number {
    return this.#forgotten.get(endpoint) ?? 0
  }
}

import type { EndpointId, EndpointIncarnation } from '@papayahill/common'
import { LRUCache } from 'lru-cache'
import type { CacheEvent } from './types.js'

/** Maximum number of prefixes that one instance remembers. */
const MAX_PREFIXES = 20_000
/** Maximum number of holders remembered for one prefix. */
const MAX_HOLDERS = 4

interface Holder {
  readonly endpoint: EndpointId
  readonly incarnation: EndpointIncarnation
}

/**
 * Which endpoints probably cache a prompt prefix: from the engines' events, which are late and incomplete, and from
 * this instance's own calls. It is only a hint; a wrong one costs a prompt evaluation, never an error.
 *
 * @example
 * const index = new PrefixIndex()
 * index.receive(event)
 * index.holders(prefix)
 */
export class PrefixIndex {
  readonly #holders = new LRUCache<string, readonly Holder[]>({ max: MAX_PREFIXES })
  readonly #generations = new Map<EndpointId, number>()
  readonly #holderGenerations = new WeakMap<Holder, number>()

  receive (event: CacheEvent): void {
    if (event.kind === 'stored') this.#add(event.prefix, event)
    else if (event.kind === 'evicted') this.#remove(event.prefix, event.endpoint)
    else this.forget(event.endpoint)
  }

  /** Records that this instance sent a prompt with the prefix to the endpoint, so that it will soon be cached there. */
  noteSent (endpoint: EndpointId, incarnation: EndpointIncarnation, prefix: string): void {
    this.#add(prefix, { endpoint, incarnation })
  }

  /** Discards everything known about an endpoint, for example after a restart. */
  forget (endpoint: EndpointId): void {
    this.#generations.set(endpoint, this.#generationOf(endpoint) + 1)
  }

  /** Endpoints that probably cache the prefix, most recent first. */
  holders (prefix: string): readonly EndpointId[] {
    const holders = this.#holders.get(prefix) ?? []
    return holders
      .filter((holder) => this.#holderGenerations.get(holder) === this.#generationOf(holder.endpoint))
      .map((holder) => holder.endpoint)
  }

  #add (prefix: string, { endpoint, incarnation }: Holder): void {
    const others = (this.#holders.get(prefix) ?? []).filter((holder) => holder.endpoint !== endpoint)
    const holder = { endpoint, incarnation }
    this.#holderGenerations.set(holder, this.#generationOf(endpoint))
    this.#holders.set(prefix, [holder, ...others].slice(0, MAX_HOLDERS))
  }

  #remove (prefix: string, endpoint: EndpointId): void {
    const others = (this.#holders.get(prefix) ?? []).filter((holder) => holder.endpoint !== endpoint)
    this.#holders.set(prefix, others)
  }

  #generationOf (endpoint: EndpointId): number {
    return this.#generations.get(endpoint) ?? 0
  }
}

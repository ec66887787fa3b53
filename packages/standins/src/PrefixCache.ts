import type { CacheEvent } from '@papayahill/endpoints'

type Change = Pick<CacheEvent, 'kind' | 'prefix'>

/**
 * LRU cache of the prompt prefixes that an engine holds.
 *
 * @example
 * const cache = new PrefixCache(32, (change) => push(change))
 * cache.touch('prompt-a') // false the first time
 */
export class PrefixCache {
  readonly #limit: number
  readonly #notify: (change: Change) => void
  readonly #prefixes = new Set<string>()

  constructor (limit: number, notify: (change: Change) => void) {
    this.#limit = limit
    this.#notify = notify
  }

  /** Marks a prefix as used and stores it if needed; returns whether it was cached already. */
  touch (prefix: string | undefined): boolean {
    if (prefix === undefined || this.#limit === 0) return false
    const isCached = this.#prefixes.delete(prefix)
    this.#prefixes.add(prefix)
    if (!isCached) this.#notify({ kind: 'stored', prefix })
    if (this.#prefixes.size > this.#limit) this.#evictOldest()
    return isCached
  }

  clear (): void {
    this.#prefixes.clear()
  }

  #evictOldest (): void {
    const [oldest] = this.#prefixes
    if (oldest === undefined) return
    this.#prefixes.delete(oldest)
    this.#notify({ kind: 'evicted', prefix: oldest })
  }
}

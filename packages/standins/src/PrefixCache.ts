import type { CacheEvent } from '@papayahill/endpoints'

type Change = Pick<CacheEvent, 'kind' | 'prefix'>

/**
 * Prompt prefixes that an engine holds, the least recently used dropped first.
 *
 * @example
 * const cache = new PrefixCache(32, (change) => push(change))
 * cache.touch('prompt-a') // false the first time
 */
export class PrefixCache {
  readonly #limit: number
  readonly #tell: (change: Change) => void
  readonly #prefixes = new Set<string>()

  constructor (limit: number, tell: (change: Change) => void) {
    this.#limit = limit
    this.#tell = tell
  }

  /** Uses a prefix; whether it was held already. */
  touch (prefix: string | undefined): boolean {
    if (prefix === undefined || this.#limit === 0) return false
    const isHeld = this.#prefixes.delete(prefix)
    this.#prefixes.add(prefix)
    if (!isHeld) this.#tell({ kind: 'stored', prefix })
    if (this.#prefixes.size > this.#limit) this.#evictOldest()
    return isHeld
  }

  clear (): void {
    this.#prefixes.clear()
  }

  #evictOldest (): void {
    const [oldest] = this.#prefixes
    if (oldest === undefined) return
    this.#prefixes.delete(oldest)
    this.#tell({ kind: 'evicted', prefix: oldest })
  }
}

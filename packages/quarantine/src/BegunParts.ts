import { LRUCache } from 'lru-cache'
import { MAX_BEGUN_PARTS, MAX_ENDED_REQUESTS } from './constants.js'
import { isWhole } from './partIdOf.js'
import type { PartId, ScopeId } from './types.js'

/**
 * The parts on which answers have begun, and whole requests whose answers have ended, in each scope. Bounded: the
 * ones that no request has had for longest are forgotten first, which makes them suspects again in a crash and convicts them
 * of nothing.
 *
 * @example
 * begun.add(scope, part)
 * begun.has(scope, part) // true
 */
export class BegunParts {
  readonly #parts = new LRUCache<string, true>({ max: MAX_BEGUN_PARTS })
  /** Most whole requests come once and must not push out parts. */
  readonly #wholes = new LRUCache<string, true>({ max: MAX_ENDED_REQUESTS })
  readonly #scopes = new LRUCache<ScopeId, true>({ max: MAX_BEGUN_PARTS })

  /** Number of parts and requests that are remembered. */
  get size (): number {
    return this.#parts.size + this.#wholes.size
  }

  has (scope: ScopeId, part: PartId): boolean {
    return this.#cacheOf(part).has(`${scope} ${part}`)
  }

  /** Whether any answer has begun in the scope. */
  hasAny (scope: ScopeId): boolean {
    return this.#scopes.has(scope)
  }

  add (scope: ScopeId, part: PartId): void {
    this.#cacheOf(part).set(`${scope} ${part}`, true)
    this.addScope(scope)
  }

  /** An answer has begun in the scope, to a request without parts. */
  addScope (scope: ScopeId): void {
    this.#scopes.set(scope, true)
  }

  #cacheOf (part: PartId): LRUCache<string, true> {
    return isWhole(part) ? this.#wholes : this.#parts
  }
}

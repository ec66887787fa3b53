import { LRUCache } from 'lru-cache'
import { MAX_UNTOLD_LOSSES } from './constants.js'
import type { PartId, RequestParts, ScopedIncarnation } from './types.js'

/** A request that was lost with an incarnation, and what is suspected for it. */
export interface RequestLoss {
  readonly incarnation: ScopedIncarnation
  readonly suspects: RequestParts
}

/**
 * The last loss of each whole request that may be a bystander: one that was lost in the middle of its answer, or that is sent on
 * and will show by itself what it does. Only one that is lost with another incarnation as well is worth telling the other
 * instances.
 *
 * @example
 * losses.note(whole, { incarnation, suspects })
 * const untold = losses.take(whole, other) // to be told, once
 */
export class UntoldLosses {
  readonly #losses = new LRUCache<string, RequestLoss>({ max: MAX_UNTOLD_LOSSES })

  note (whole: PartId, loss: RequestLoss): void {
    this.#losses.set(`${loss.incarnation.scope} ${whole}`, loss)
  }

  /** The request's loss with another incarnation than this one; it is told then, and forgotten. */
  take (whole: PartId, { scope, incarnation }: ScopedIncarnation): RequestLoss | undefined {
    const key = `${scope} ${whole}`
    const loss = this.#losses.get(key)
    if (loss === undefined || loss.incarnation.incarnation === incarnation) return undefined
    this.#losses.delete(key)
    return loss
  }
}

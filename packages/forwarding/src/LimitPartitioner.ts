import { hash32, millis } from '@papayahill/common'
import type { Clock, InstanceId, Millis } from '@papayahill/common'
import { SHARE_TTL } from './constants.js'

interface Share {
  readonly limit: number
  readonly share: number
  readonly validUntil: Millis
}

export interface LimitPartitionerOptions {
  readonly clock: Clock
  readonly self: InstanceId
  /** All instances that may use the limits, including this one. Too many is safe, too few is not. */
  readonly instances: () => readonly InstanceId[]
}

/**
 * Divides integer limits between all instances, so that their shares never add up to more than the limit. The remainder
 * goes to the first instances in rendezvous order for the limit's name. With more instances than units some get a share
 * of zero, which keeps the limit of a single endpoint at hundreds of instances.
 *
 * @example
 * partitioner.shareOf('i-7f3a connections', 110)
 */
export class LimitPartitioner {
  readonly #options: LimitPartitionerOptions
  /** The one that was computed least recently is first. */
  readonly #shares = new Map<string, Share>()

  constructor (options: LimitPartitionerOptions) {
    this.#options = options
  }

  /** Number of shares that are kept. */
  get size (): number {
    return this.#shares.size
  }

  /** This instance's share of a limit. */
  shareOf (name: string, limit: number): number {
    const now = this.#options.clock.now()
    const known = this.#shares.get(name)
    if (known !== undefined && known.limit === limit && now < known.validUntil) return known.share
    const share = this.#computeShare(name, Math.max(0, Math.floor(limit)))
    this.#shares.delete(name)
    this.#shares.set(name, { limit, share, validUntil: millis(now + SHARE_TTL) })
    this.#dropExpired(now)
    return share
  }

  /** Limits have names of endpoints, which come and go. */
  #dropExpired (now: Millis): void {
    for (const [name, { validUntil }] of this.#shares) {
      if (now < validUntil) return
      this.#shares.delete(name)
    }
  }

  forget (name: string): void {
    this.#shares.delete(name)
  }

  #computeShare (name: string, units: number): number {
    const { self, instances } = this.#options
    const all = instances()
    const even = Math.floor(units / all.length)
    const remainder = units - even * all.length
    if (remainder === 0) return even
    const ownRank = hash32(`${name} ${self}`)
    const higherRanked = all.filter((id) => hash32(`${name} ${id}`) > ownRank).length
    return even + (higherRanked < remainder ? 1 : 0)
  }
}

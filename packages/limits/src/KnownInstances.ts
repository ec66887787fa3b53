import { millis } from '@papayahill/common'
import type { Clock, InstanceId, Millis } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { HOLDERS_TTL, SILENT_INSTANCE_TTL, UNSEEN_INSTANCE_TTL } from './constants.js'

export interface KnownInstancesOptions {
  readonly clock: Clock
  readonly peers: Pick<Peers, 'self' | 'members'>
  /** Ids in the platform's list of instances; some of them may be gone for good. */
  readonly listed: () => readonly InstanceId[]
}

/**
 * The instances that may share a limit. One that falls silent still counts for a long time, since it may be alive behind
 * a cut: shares must add up to the limit on both sides of it.
 *
 * @example
 * known.ids // this instance, all that were seen lately, and all that are listed and may still appear
 */
export class KnownInstances {
  readonly #options: KnownInstancesOptions
  /** Monotonic times until which instances count. */
  readonly #countedUntil = new Map<InstanceId, Millis>()
  /** Listed instances that were never seen and no longer count. */
  readonly #unseen = new Set<InstanceId>()
  #ids: readonly InstanceId[] = []
  #reachable: ReadonlySet<InstanceId> = new Set()
  #validUntil: Millis = millis(0)

  constructor (options: KnownInstancesOptions) {
    this.#options = options
  }

  /** All that count, including this one. */
  get ids (): readonly InstanceId[] {
    this.#update()
    return this.#ids
  }

  isReachable (id: InstanceId): boolean {
    this.#update()
    return this.#reachable.has(id)
  }

  #update (): void {
    const { clock, peers, listed } = this.#options
    const now = clock.now()
    if (now < this.#validUntil) return
    this.#validUntil = millis(now + HOLDERS_TTL)
    this.#reachable = new Set([peers.self, ...peers.members().map(({ id }) => id)])
    for (const id of this.#reachable) this.#countedUntil.set(id, millis(now + SILENT_INSTANCE_TTL))
    for (const id of listed()) this.#countListed(id, now)
    for (const [id, until] of this.#countedUntil) if (until <= now) this.#forget(id)
    this.#ids = [...this.#countedUntil.keys()]
  }

  #countListed (id: InstanceId, now: Millis): void {
    if (!this.#countedUntil.has(id) && !this.#unseen.has(id)) this.#countedUntil.set(id, millis(now + UNSEEN_INSTANCE_TTL))
  }

  #forget (id: InstanceId): void {
    this.#countedUntil.delete(id)
    this.#unseen.add(id)
  }
}

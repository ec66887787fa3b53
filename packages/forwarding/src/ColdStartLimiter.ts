import type { Clock, Millis } from '@papayahill/common'
import { MILLIS_PER_SECOND } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { COLD_SHARE } from './constants.js'
import type { LimitPartitioner } from './LimitPartitioner.js'
import type { ProfileLookup } from './types.js'

/**
 * Limits the rate of requests to cold endpoints, so that all instances together stay within an endpoint's cold rate.
 *
 * @example
 * if (limiter.canAccept(endpoint)) limiter.recordDispatch(endpoint)
 */
export class ColdStartLimiter {
  readonly #clock: Clock
  readonly #profileOf: ProfileLookup
  readonly #partitioner: Pick<LimitPartitioner, 'shareOf'>
  readonly #dispatchTimes = new WeakMap<Endpoint, Millis[]>()

  constructor (clock: Clock, profileOf: ProfileLookup, partitioner: Pick<LimitPartitioner, 'shareOf'>) {
    this.#clock = clock
    this.#profileOf = profileOf
    this.#partitioner = partitioner
  }

  canAccept (endpoint: Endpoint): boolean {
    const perSecond = this.#profileOf(endpoint.service)?.coldPerSecond ?? 0
    if (perSecond === 0 || !endpoint.isCold(this.#clock.now())) return true
    return this.#recentDispatches(endpoint).length < this.#partitioner.shareOf(`${endpoint.id} cold`, perSecond * COLD_SHARE)
  }

  recordDispatch (endpoint: Endpoint): void {
    const now = this.#clock.now()
    if (endpoint.isCold(now)) this.#recentDispatches(endpoint).push(now)
    else this.#dispatchTimes.delete(endpoint)
  }

  #recentDispatches (endpoint: Endpoint): Millis[] {
    const since = this.#clock.now() - MILLIS_PER_SECOND
    const recent = (this.#dispatchTimes.get(endpoint) ?? []).filter((at) => at > since)
    this.#dispatchTimes.set(endpoint, recent)
    return recent
  }
}

import type { Clock, EndpointId, Millis } from '@papayahill/common'
import { MILLIS_PER_SECOND } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { COLD_SHARE } from './constants.js'
import type { ProfileLookup } from './types.js'

/**
 * Holds back requests that a cold endpoint would not bear from all instances together.
 *
 * @example
 * if (gate.mayTake(endpoint)) gate.take(endpoint)
 */
export class ColdGate {
  readonly #clock: Clock
  readonly #profileOf: ProfileLookup
  readonly #instances: () => number
  readonly #sent = new Map<EndpointId, Millis[]>()

  constructor (clock: Clock, profileOf: ProfileLookup, instances: () => number) {
    this.#clock = clock
    this.#profileOf = profileOf
    this.#instances = instances
  }

  mayTake (endpoint: Endpoint): boolean {
    const perSecond = this.#profileOf(endpoint.service)?.coldPerSecond ?? 0
    if (perSecond === 0 || !endpoint.isCold(this.#clock.now())) return true
    return this.#recent(endpoint).length < Math.max(1, Math.floor(perSecond * COLD_SHARE / this.#instances()))
  }

  take (endpoint: Endpoint): void {
    const now = this.#clock.now()
    if (endpoint.isCold(now)) this.#recent(endpoint).push(now)
    else this.#sent.delete(endpoint.id)
  }

  #recent (endpoint: Endpoint): Millis[] {
    const since = this.#clock.now() - MILLIS_PER_SECOND
    const recent = (this.#sent.get(endpoint.id) ?? []).filter((at) => at > since)
    this.#sent.set(endpoint.id, recent)
    return recent
  }
}

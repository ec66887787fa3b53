import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, Millis, Random, ServiceId } from '@papayahill/common'
import { MAX_RETURN_TIME } from './constants.js'

/**
 * Spreads the returns of refused callers, so that they come back at the rate at which there are tokens for them.
 *
 * @example
 * schedule.next(service, 2, millis(300)) // 300, then 800, then 1300
 */
export class ReturnSchedule {
  readonly #clock: Clock
  readonly #random: Random
  /** Latest assigned return of each service. */
  readonly #lastReturns = new Map<ServiceId, Millis>()

  constructor (clock: Clock, random: Random) {
    this.#clock = clock
    this.#random = random
  }

  /** Time after which the next refused caller should return, at the earliest after `availableIn`. */
  next (service: ServiceId, perSecond: number, availableIn: Millis): Millis {
    const now = this.#clock.now()
    const last = this.#lastReturns.get(service)
    const next = last === undefined ? now : last + MILLIS_PER_SECOND / perSecond
    const returnAt = Math.max(now + availableIn, next)
    if (returnAt > now + MAX_RETURN_TIME) return millis(MAX_RETURN_TIME * (1 + this.#random.next()) / 2)
    this.#lastReturns.set(service, millis(returnAt))
    return millis(returnAt - now)
  }
}

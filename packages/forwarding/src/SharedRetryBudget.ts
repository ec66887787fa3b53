import { millis } from '@papayahill/common'
import type { Clock, Millis, ServiceId } from '@papayahill/common'
import { RETRY_SHARE } from './constants.js'

export interface RetryBudgetLimits {
  /** Retries allowed per request. */
  readonly ratio: number
  readonly window: Millis
  /** Retries that all instances together may make in addition to the ratio. */
  readonly slack: number
}

interface Counts {
  readonly requests: Millis[]
  readonly retries: Millis[]
}

const countSince = (times: Millis[], since: number): number => {
  while (times.length > 0 && times[0]! <= since) times.shift()
  return times.length
}

/**
 * This instance's share of each service's retry budget: its own requests times the ratio, plus its part of the slack.
 * The shares never add up to more than the budget, so the instances need no coordination.
 *
 * @example
 * budget.countRequests(service)
 * if (budget.tryTake(service, 1)) await retry()
 */
export class SharedRetryBudget {
  readonly #clock: Clock
  readonly #limits: () => RetryBudgetLimits
  readonly #instances: () => number
  readonly #counts = new Map<ServiceId, Counts>()

  constructor (clock: Clock, limits: () => RetryBudgetLimits, instances: () => number) {
    this.#clock = clock
    this.#limits = limits
    this.#instances = instances
  }

  /** Number of times that are kept. */
  get size (): number {
    return [...this.#counts.values()].reduce((sum, { requests, retries }) => sum + requests.length + retries.length, 0)
  }

  /** Counts requests of the service, or pieces if it runs stages. */
  countRequests (service: ServiceId, count = 1): void {
    const { requests } = this.#countsOf(service)
    for (let counted = 0; counted < count; counted++) requests.push(this.#clock.now())
  }

  /** Takes retries if this instance's share has enough left. */
  tryTake (service: ServiceId, count: number): boolean {
    const now = this.#clock.now()
    const { ratio, window, slack } = this.#limits()
    const { requests, retries } = this.#countsOf(service)
    const since = now - window
    const earned = countSince(requests, since) * ratio
    const allowed = RETRY_SHARE * (earned + slack / this.#instances())
    if (countSince(retries, since) + count > allowed) return false
    for (let taken = 0; taken < count; taken++) retries.push(millis(now))
    return true
  }

  #countsOf (service: ServiceId): Counts {
    const known = this.#counts.get(service)
    if (known !== undefined) return known
    const counts: Counts = { requests: [], retries: [] }
    this.#counts.set(service, counts)
    return counts
  }
}

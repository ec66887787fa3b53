import type { Clock, Millis, ServiceId } from '@papayahill/common'
import { RETRY_SHARE } from './constants.js'
import { WindowCount } from './WindowCount.js'

export interface RetryBudgetLimits {
  /** Retries allowed per request. */
  readonly ratio: number
  readonly window: Millis
  /** Retries that all instances together may make in addition to the ratio. */
  readonly slack: number
}

interface Counts {
  readonly requests: WindowCount
  readonly retries: WindowCount
}

/**
 * This instance's share of each service's retry budget: its own requests times the ratio, plus its part of the slack.
 * The shares never add up to more than the budget, so the instances need no coordination. Requests are counted too low and
 * retries too high by at most what falls into a hundredth of the window, so that the budget is kept in bounded memory.
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
  #prunedAt: Millis

  constructor (clock: Clock, limits: () => RetryBudgetLimits, instances: () => number) {
    this.#clock = clock
    this.#limits = limits
    this.#instances = instances
    this.#prunedAt = clock.now()
  }

  /** Number of counts that are kept: of each service, and of each span of its window. */
  get size (): number {
    return [...this.#counts.values()].reduce((sum, { requests, retries }) => sum + 1 + requests.size + retries.size, 0)
  }

  /** Counts requests of the service, or pieces if it runs stages. */
  countRequests (service: ServiceId, count = 1): void {
    this.#countsOf(service).requests.add(this.#clock.now(), count, this.#limits().window)
  }

  /** Takes retries if this instance's share has enough left. */
  tryTake (service: ServiceId, count: number): boolean {
    const now = this.#clock.now()
    const { ratio, window, slack } = this.#limits()
    const { requests, retries } = this.#countsOf(service)
    const earned = requests.count(now, window) * ratio
    const allowed = RETRY_SHARE * (earned + slack / this.#instances())
    if (retries.count(now, window) + count > allowed) return false
    retries.add(now, count, window)
    return true
  }

  /** Gives back retries that were taken and not made. */
  giveBack (service: ServiceId, count: number): void {
    this.#countsOf(service).retries.remove(count)
  }

  #countsOf (service: ServiceId): Counts {
    const known = this.#counts.get(service)
    if (known !== undefined) return known
    this.#forgetUnused()
    const counts: Counts = { requests: new WindowCount('lower'), retries: new WindowCount('upper') }
    this.#counts.set(service, counts)
    return counts
  }

  /** Forgets services without a request or retry within the window: configurations may name new services again and again. */
  #forgetUnused (): void {
    const now = this.#clock.now()
    const { window } = this.#limits()
    if (now - this.#prunedAt < window) return
    this.#prunedAt = now
    for (const [service, { requests, retries }] of this.#counts) {
      if (requests.count(now, window) + retries.count(now, window) === 0) this.#counts.delete(service)
    }
  }
}

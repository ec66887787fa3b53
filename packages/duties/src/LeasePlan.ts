import { millis } from '@papayahill/common'
import type { Clock, Millis, Random } from '@papayahill/common'
import { CHECK_PERIOD, MIN_BACKOFF, RANK_DELAY, START_WAIT } from './constants.js'
import type { LeaseGossip } from './LeaseGossip.js'
import type { LeaseHold } from './LeaseHold.js'
import type { LeaseView } from './LeaseView.js'
import type { LeaseWriter } from './LeaseWriter.js'

export interface LeasePlanOptions {
  readonly clock: Clock
  readonly random: Random
  readonly view: LeaseView
  readonly hold: LeaseHold
  readonly gossip: LeaseGossip
  readonly writer: LeaseWriter
}

/** The next look at the lease; `isDue` if the store is to be called then. */
export interface LeaseStep {
  readonly delay: Millis
  readonly isDue: boolean
}

/** Plans the store calls of the holder and of candidates, each later candidate after the one before it. */
export class LeasePlan {
  readonly #options: LeasePlanOptions
  #startedAt: Millis = millis(0)
  /** Steady time before which no store call is made. */
  #backoffUntil: Millis = millis(0)

  constructor (options: LeasePlanOptions) {
    this.#options = options
  }

  start (): void {
    this.#startedAt = this.#options.clock.now()
  }

  next (): LeaseStep {
    const { clock, hold, gossip } = this.#options
    const now = clock.now()
    if (hold.current !== undefined) return { delay: millis(Math.max(hold.untilRenewal, this.#backoffUntil - now)), isDue: true }
    const wait = this.#firstAt() - now
    // The rank among hundreds of members is not computed while the holder is alive.
    if (wait > 0) return { delay: millis(Math.ceil(wait)), isDue: false }
    const delay = Math.max(0, wait + gossip.rank * RANK_DELAY, this.#backoffUntil - now)
    return { delay: millis(Math.min(delay, CHECK_PERIOD)), isDue: delay <= CHECK_PERIOD }
  }

  retryAfter (period: Millis): void {
    this.#backoffUntil = millis(this.#options.clock.now() + period)
  }

  /** Leaves the lease to the others for long enough for each to try, so that the rate of tries does not grow with the instances. */
  backOff (): void {
    const { random, gossip } = this.#options
    this.retryAfter(millis(Math.max(MIN_BACKOFF, gossip.ranked().length * RANK_DELAY) + random.next() * RANK_DELAY / 2))
  }

  /** Ends a backoff: others reach the store, and the next contest begins with all candidates. */
  endBackoff (): void {
    this.#backoffUntil = millis(0)
  }

  /** When the first candidate may try. */
  #firstAt (): number {
    const { view: { seen }, writer } = this.#options
    if (seen === undefined) return this.#startedAt + START_WAIT
    return writer.isOwn(seen) ? seen.at : seen.at + seen.record.wait
  }
}

import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'

export interface TokenBucketOptions {
  readonly clock: Clock
  readonly perSecond: () => number
  readonly burst: number
}

/** Token bucket with a variable rate and a bounded burst. */
export class TokenBucket {
  readonly #options: TokenBucketOptions
  #tokens: number
  #filledAt: Millis

  constructor (options: TokenBucketOptions) {
    this.#options = options
    this.#tokens = options.burst
    this.#filledAt = options.clock.now()
  }

  /** Takes one token, on credit if there is none; returns the wait until it is available. */
  take (): Millis {
    this.#fill()
    this.#tokens--
    return millis(Math.max(0, -this.#tokens * MILLIS_PER_SECOND / this.#options.perSecond()))
  }

  /** Returns an unused token. */
  refund (): void {
    this.#tokens++
  }

  #fill (): void {
    const { clock, perSecond, burst } = this.#options
    const now = clock.now()
    this.#tokens = Math.min(burst, this.#tokens + (now - this.#filledAt) * perSecond() / MILLIS_PER_SECOND)
    this.#filledAt = now
  }
}

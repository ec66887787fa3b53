import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'

export interface TokenBucketOptions {
  readonly clock: Clock
  readonly perSecond: () => number
  readonly burst: number
}

/** Lets through a steady rate and a bounded burst. */
export class TokenBucket {
  readonly #options: TokenBucketOptions
  #tokens: number
  #filledAt: Millis

  constructor (options: TokenBucketOptions) {
    this.#options = options
    this.#tokens = options.burst
    this.#filledAt = options.clock.now()
  }

  /** Takes one token, on credit where there is none: the wait until it would have been there. */
  take (): Millis {
    this.#fill()
    this.#tokens--
    return millis(Math.max(0, -this.#tokens * MILLIS_PER_SECOND / this.#options.perSecond()))
  }

  /** Gives back a token that was not used. */
  giveBack (): void {
    this.#tokens++
  }

  #fill (): void {
    const { clock, perSecond, burst } = this.#options
    const now = clock.now()
    this.#tokens = Math.min(burst, this.#tokens + (now - this.#filledAt) * perSecond() / MILLIS_PER_SECOND)
    this.#filledAt = now
  }
}

import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'

/** Rate and burst of one share. */
export interface ShareRate {
  /** Time in which the share earns one token. */
  readonly interval: Millis
  /** Tokens that it may keep. */
  readonly burst: number
}

/**
 * Tokens of one share of a limit, by the generic cell rate algorithm: it stores only the time at which the next token is
 * due, so that nothing accumulates beyond the burst.
 *
 * @example
 * const bucket = new ShareBucket()
 * bucket.restart({ interval: millis(500), burst: 1.5 }, millis(500), clock.now())
 * if (bucket.tryTake(clock.now())) send()
 */
export class ShareBucket {
  #rate: ShareRate = { interval: millis(Infinity), burst: 1 }
  /** When the next token would be due if none were kept. */
  #dueAt: Millis = millis(Infinity)

  /** Starts without tokens; the first one is available after `firstIn`. */
  restart (rate: ShareRate, firstIn: Millis, now: Millis): void {
    this.#rate = rate
    this.#dueAt = millis(now + firstIn + this.#tolerance)
  }

  /** Changes the rate without a burst: the next token comes at most one interval from now. */
  adjust (rate: ShareRate, now: Millis): void {
    this.#rate = rate
    this.#dueAt = millis(Math.min(this.#dueAt, now + this.#tolerance + rate.interval))
  }

  availableIn (now: Millis): Millis {
    return millis(Math.max(0, this.#dueAt - this.#tolerance - now))
  }

  tryTake (now: Millis): boolean {
    if (this.availableIn(now) > 0) return false
    this.#dueAt = millis(Math.max(this.#dueAt, now) + this.#rate.interval)
    return true
  }

  /** Time by which a token may be taken before it is due. */
  get #tolerance (): Millis {
    const { interval, burst } = this.#rate
    return millis((burst - 1) * interval)
  }
}

import { millis } from './units.js'
import type { Millis } from './units.js'

/** Requests under way at once with which an endpoint is tried after its quiet period; each good answer allows one more. */
const RETURN_REQUESTS = 2
/** Requests under way at once from which on the endpoint has returned. */
const RETURNED_REQUESTS = 16

/**
 * The time for which an endpoint has asked to be sent nothing. When it is over, a few requests go first: what has waited
 * would otherwise arrive together.
 *
 * @example
 * quiet.begin(clock.now(), seconds(2))
 * if (quiet.mayTake(clock.now(), running)) send()
 */
export class QuietPeriod {
  #until: Millis = millis(0)
  #mostRunning = Infinity

  /** Monotonic time at which it is over; in the past where there is none. */
  get until (): Millis {
    return this.#until
  }

  /** Never shortens a period that runs; whether it is longer now. */
  begin (now: Millis, span: Millis): boolean {
    const until = millis(now + span)
    if (until <= this.#until) return false
    this.#until = until
    this.#mostRunning = RETURN_REQUESTS
    return true
  }

  /** Time that is left. */
  left (now: Millis): Millis {
    return millis(Math.max(0, this.#until - now))
  }

  /** Whether one more request may be sent beside those under way. */
  mayTake (now: Millis, running: number): boolean {
    return now >= this.#until && running < this.#mostRunning
  }

  /** A request was answered well; after the period, more may come. */
  answered (now: Millis): void {
    if (now < this.#until) return
    this.#mostRunning = this.#mostRunning < RETURNED_REQUESTS ? this.#mostRunning + 1 : Infinity
  }
}

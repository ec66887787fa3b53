import { millis } from './units.js'
import type { Millis } from './units.js'

/** Concurrent requests allowed right after the period; each success allows one more. */
const INITIAL_CONCURRENCY = 2
/** Concurrent requests at which the limit is lifted. */
const RECOVERED_CONCURRENCY = 16

/**
 * A backoff period that an endpoint asked for. After it the number of concurrent requests grows slowly, because the
 * waiting requests would otherwise arrive all at once.
 *
 * @example
 * backoff.begin(clock.now(), seconds(2))
 * if (backoff.canAccept(clock.now(), running)) send()
 */
export class BackoffPeriod {
  #until: Millis = millis(0)
  #maxRunning = Infinity

  /** Monotonic time at which the period ends; in the past if there is none. */
  get until (): Millis {
    return this.#until
  }

  /** Starts or extends the period, never shortens it; returns whether its end has changed. */
  begin (now: Millis, span: Millis): boolean {
    const until = millis(now + span)
    if (until <= this.#until) return false
    this.#until = until
    this.#maxRunning = INITIAL_CONCURRENCY
    return true
  }

  /** Time left until the end of the period. */
  remaining (now: Millis): Millis {
    return millis(Math.max(0, this.#until - now))
  }

  /** Whether one more request may be sent in addition to the running ones. */
  canAccept (now: Millis, running: number): boolean {
    return now >= this.#until && running < this.#maxRunning
  }

  /** Raises the limit of concurrent requests after a success, unless the period is still running. */
  recordSuccess (now: Millis): void {
    if (now < this.#until) return
    this.#maxRunning = this.#maxRunning < RECOVERED_CONCURRENCY ? this.#maxRunning + 1 : Infinity
  }
}

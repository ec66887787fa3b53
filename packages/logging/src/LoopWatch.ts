import { millis } from '@papayahill/common'
import type { Clock, EventFields, EventLog, LoopDelay, Millis } from '@papayahill/common'
import { LOGGED_LOOP_DELAY, LOOP_RECOVERY_TIME } from './constants.js'
import { LOGGING_EVENTS } from './events.js'

export interface LoopWatchOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly loopDelay: Pick<LoopDelay, 'current'>
  /** Counts of what the process holds, by which the cause of a long delay can be told. */
  readonly held: () => EventFields
}

/**
 * Logs when the process begins to be late to read what arrives, and when it no longer is, with the longest delay in between.
 *
 * @example
 * const watch = new LoopWatch({ clock, log, loopDelay, held: () => ({ requests: forwarder.running }) })
 * clock.every(millis(100), () => watch.check())
 */
export class LoopWatch {
  readonly #options: LoopWatchOptions
  #longest: Millis = millis(0)
  #delayedSince: Millis | undefined
  #delayedAt: Millis = millis(0)

  constructor (options: LoopWatchOptions) {
    this.#options = options
  }

  check (): void {
    const { clock, loopDelay } = this.#options
    const now = clock.now()
    const delay = loopDelay.current
    if (delay >= LOGGED_LOOP_DELAY) this.#noteDelay(delay, now)
    else if (this.#delayedSince !== undefined && now - this.#delayedAt >= LOOP_RECOVERY_TIME) this.#logRecovery(this.#delayedSince)
  }

  #noteDelay (delay: Millis, now: Millis): void {
    this.#delayedAt = now
    this.#longest = millis(Math.max(this.#longest, delay))
    if (this.#delayedSince !== undefined) return
    this.#delayedSince = now
    const { log, held } = this.#options
    log.emit(LOGGING_EVENTS.loopDelayed, { ...held(), delayMs: delay })
  }

  #logRecovery (since: Millis): void {
    const longestMs = this.#longest
    this.#delayedSince = undefined
    this.#longest = millis(0)
    this.#options.log.emit(LOGGING_EVENTS.loopOnTime, { longestMs, lastedMs: millis(this.#delayedAt - since) })
  }
}

import { millis } from '@papayahill/common'
import type { Clock, EventLog, Millis, Timer } from '@papayahill/common'
import { PAUSE_LIMIT, PAUSE_QUIET, PAUSE_TICK } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'

/**
 * Notices that this process stood still. Requests that waited in its sockets meanwhile may have been
 * given up by their callers, who may have heard "not run" elsewhere; for a moment none is claimed.
 */
export class PauseGuard {
  readonly #clock: Clock
  readonly #log: EventLog
  #timer: Timer | undefined
  #tickedAt: Millis
  #quietUntil: Millis = millis(0)

  constructor (clock: Clock, log: EventLog) {
    this.#clock = clock
    this.#log = log
    this.#tickedAt = clock.now()
  }

  /** Whether this process has just stood still. */
  get isQuiet (): boolean {
    if (this.#timer === undefined) return false
    this.#look()
    return this.#clock.now() < this.#quietUntil
  }

  start (): void {
    this.#tickedAt = this.#clock.now()
    this.#timer = this.#clock.every(PAUSE_TICK, () => this.#look())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  #look (): void {
    const now = this.#clock.now()
    const pause = now - this.#tickedAt
    this.#tickedAt = now
    if (pause <= PAUSE_LIMIT) return
    this.#quietUntil = millis(now + PAUSE_QUIET)
    this.#log.emit(CLAIMS_EVENTS.processPaused, { pause })
  }
}

import { millis } from '@papayahill/common'
import type { Clock, EventLog, Millis, Timer } from '@papayahill/common'
import { PAUSE_LIMIT, PAUSE_BACKOFF, PAUSE_TICK } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'

/**
 * Detects pauses of this process. Requests that were waiting in its sockets may have been abandoned by their
 * callers, who may have received "not run" from another instance; none is claimed for `PAUSE_BACKOFF`.
 */
export class PauseGuard {
  readonly #clock: Clock
  readonly #log: EventLog
  #timer: Timer | undefined
  #tickedAt: Millis
  #backoffUntil: Millis = millis(0)

  constructor (clock: Clock, log: EventLog) {
    this.#clock = clock
    this.#log = log
    this.#tickedAt = clock.now()
  }

  /** Whether this process was paused within the last `PAUSE_BACKOFF`. */
  get isBackingOff (): boolean {
    if (this.#timer === undefined) return false
    this.#tick()
    return this.#clock.now() < this.#backoffUntil
  }

  start (): void {
    this.#tickedAt = this.#clock.now()
    this.#timer = this.#clock.every(PAUSE_TICK, () => this.#tick())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  #tick (): void {
    const now = this.#clock.now()
    const pause = now - this.#tickedAt
    this.#tickedAt = now
    if (pause <= PAUSE_LIMIT) return
    this.#backoffUntil = millis(now + PAUSE_BACKOFF)
    this.#log.emit(CLAIMS_EVENTS.processPaused, { pause })
  }
}

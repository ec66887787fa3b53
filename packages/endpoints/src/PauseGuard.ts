import { millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'

/** An instance whose timers are this late was paused, and may have missed messages of the others. */
const PAUSE_MIN = millis(1000)
/** Time in which messages that were queued during the pause are processed. */
const RESUME_GRACE = millis(100)
/** After this time work resumes without the refresh: a hanging read of the list must not stop requests. */
const RESUME_MAX = millis(2000)

export interface PauseGuardOptions {
  readonly clock: Clock
  /** Reads the list again; must settle whether the read succeeds or not. */
  readonly refresh: () => Promise<void>
}

/**
 * Detects that this instance was paused, and blocks new work until it has read again which endpoints are leaving
 * and which domains are out.
 *
 * @example
 * if (guard.isResuming(clock.now())) return undefined
 */
export class PauseGuard {
  readonly #options: PauseGuardOptions
  #aliveAt: Millis
  #isResuming = false

  constructor (options: PauseGuardOptions) {
    this.#options = options
    this.#aliveAt = options.clock.now()
  }

  /** Must be called by a periodic timer with a short period. */
  tick (): void {
    this.isResuming(this.#options.clock.now())
  }

  isResuming (now: Millis): boolean {
    const wasPaused = now - this.#aliveAt > PAUSE_MIN
    this.#aliveAt = now
    if (wasPaused && !this.#isResuming) void this.#resume()
    return this.#isResuming
  }

  async #resume (): Promise<void> {
    const { clock, refresh } = this.#options
    this.#isResuming = true
    await Promise.all([Promise.race([refresh(), clock.sleep(RESUME_MAX)]), clock.sleep(RESUME_GRACE)])
    this.#isResuming = false
  }
}

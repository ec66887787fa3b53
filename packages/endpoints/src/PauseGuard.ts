import { millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'

/** An instance whose timers were this late was paused, and may have missed what the others know. */
const PAUSE_MIN = millis(1000)
/** Time in which messages that waited during the pause are taken in. */
const RESUME_GRACE = millis(100)
/** After this time work goes on without the reading: a list that hangs must not stop requests. */
const RESUME_MAX = millis(2000)

export interface PauseGuardOptions {
  readonly clock: Clock
  /** Reads again what may have changed; settles whether it could be read or not. */
  readonly refresh: () => Promise<void>
}

/**
 * Notices that this instance was paused, and holds new work back until it has looked again at what leaves
 * and what is out.
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

  /** To be called by a short periodic timer. */
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

import { epochMillis, millis, SILENT_LOG } from '@papayahill/common'
import type { Clock, EpochMillis, EventLog, Millis } from '@papayahill/common'
import { LOGGED_CORRECTION, MIN_SUSPENSION, SLEW_RATE } from './constants.js'
import { REPORTS_EVENTS } from './events.js'

export interface FleetClockOptions {
  readonly clock: Clock
  /** Boot-time clock, which does not stand still while the machine is suspended; none by default. */
  readonly uptime?: () => Millis
  readonly log?: EventLog
}

/**
 * A time of day that does not jump with the wall clock. It starts at the wall clock, runs on the steady and boot-time clocks, is
 * set once to the median of all instances, and then corrected by a small share of the passed time only.
 *
 * @example
 * const fleetClock = new FleetClock({ clock, uptime: () => seconds(os.uptime()) })
 * const window = Math.floor(fleetClock.now() / 5000)
 */
export class FleetClock {
  readonly #options: FleetClockOptions
  readonly #wallStart: EpochMillis
  readonly #steadyStart: Millis
  readonly #uptimeStart: Millis
  /** Time for which the machine was suspended. */
  #suspended = 0
  #correction = 0
  /** Part of the last correction that is still to be made. */
  #pending = 0
  #lastElapsed = 0
  #isSet = false

  constructor (options: FleetClockOptions) {
    this.#options = options
    this.#wallStart = options.clock.wall()
    this.#steadyStart = options.clock.now()
    this.#uptimeStart = options.uptime?.() ?? millis(0)
  }

  now (): EpochMillis {
    const elapsed = this.elapsed()
    const limit = (elapsed - this.#lastElapsed) * SLEW_RATE
    const step = Math.max(-limit, Math.min(limit, this.#pending))
    this.#lastElapsed = elapsed
    this.#correction += step
    this.#pending -= step
    return epochMillis(this.#wallStart + elapsed + this.#correction)
  }

  /** Whether the clock was set to the median of all instances. */
  get isSet (): boolean {
    return this.#isSet
  }

  /**
   * Corrects the clock by the time of day that the median of all showed when this clock had run for `elapsed`: at once the first
   * time, slowly from then on. What was corrected since that moment is taken into account.
   */
  correct (elapsed: Millis, median: EpochMillis): void {
    this.now()
    const error = this.#wallStart + elapsed + this.#correction - median
    if (this.#isSet) {
      this.#pending = -error
      return
    }
    this.#isSet = true
    this.#correction -= error
    if (Math.abs(error) >= LOGGED_CORRECTION) (this.#options.log ?? SILENT_LOG).emit(REPORTS_EVENTS.clockSet, { error: Math.round(error) })
  }

  /** Time for which the clock has run; it includes suspensions. */
  elapsed (): Millis {
    const { clock, uptime } = this.#options
    const steady = clock.now() - this.#steadyStart
    if (uptime !== undefined) {
      const ahead = uptime() - this.#uptimeStart - steady
      if (ahead > this.#suspended + MIN_SUSPENSION) this.#suspended = ahead
    }
    return millis(steady + this.#suspended)
  }
}

import type { EpochMillis, Millis } from './units.js'

/** A pending timer that can be cancelled. */
export interface Timer {
  cancel (): void
}

/** Source of time and timers: real in production, virtual in tests and benches. */
export interface Clock {
  /** Monotonic time in milliseconds; its zero has no meaning. */
  now (): Millis
  /** Wall-clock time; may jump. */
  wall (): EpochMillis
  /** Runs `callback` once, `delay` milliseconds from now. */
  after (delay: Millis, callback: () => void): Timer
  /** Runs `callback` every `period` milliseconds until cancelled. */
  every (period: Millis, callback: () => void): Timer
  /** Resolves `delay` milliseconds from now. */
  sleep (delay: Millis): Promise<void>
}

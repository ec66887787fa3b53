import type { EpochMillis, Millis } from './units.js'

/** A timer that has been set and may be cancelled. */
export interface Timer {
  cancel (): void
}

/** Time as the decisions see it: real in production, virtual in tests and benches. */
export interface Clock {
  /** Monotonic time in milliseconds; its zero has no meaning. */
  now (): Millis
  /** Calendar time; may step. */
  wall (): EpochMillis
  /** Runs `fire` once, `delay` milliseconds from now. */
  after (delay: Millis, fire: () => void): Timer
  /** Runs `fire` each `period` milliseconds until cancelled. */
  every (period: Millis, fire: () => void): Timer
  /** Resolves `delay` milliseconds from now. */
  sleep (delay: Millis): Promise<void>
}

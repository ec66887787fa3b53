import { epochMillis } from '@papayahill/common'
import type { Clock, EpochMillis, Millis, Timer } from '@papayahill/common'

/** A clock whose wall clock is wrong and may jump. */
export class SkewedClock implements Clock {
  readonly #clock: Clock
  /** How far the wall clock is ahead of the truth. */
  skew: Millis

  constructor (clock: Clock, skew: Millis) {
    this.#clock = clock
    this.skew = skew
  }

  now (): Millis {
    return this.#clock.now()
  }

  wall (): EpochMillis {
    return epochMillis(this.#clock.wall() + this.skew)
  }

  after (delay: Millis, callback: () => void): Timer {
    return this.#clock.after(delay, callback)
  }

  every (period: Millis, callback: () => void): Timer {
    return this.#clock.every(period, callback)
  }

  sleep (delay: Millis): Promise<void> {
    return this.#clock.sleep(delay)
  }
}

import { uptime } from 'node:os'
import { MILLIS_PER_SECOND, millis } from '@papayahill/common'
import type { Clock, EpochMillis, Millis } from '@papayahill/common'

/** Clocks that go on while the machine is suspended, unlike the steady clock. */
export interface ElapsedClock {
  /** Time since the machine's start, including suspensions. */
  boot (): Millis
  /** Wall-clock time; may jump in either direction. */
  wall (): EpochMillis
}

/** The machine's clocks; `os.uptime()` has a resolution of 10 ms. */
export class SystemElapsedClock implements ElapsedClock {
  readonly #clock: Clock

  constructor (clock: Clock) {
    this.#clock = clock
  }

  boot (): Millis {
    return millis(uptime() * MILLIS_PER_SECOND)
  }

  wall (): EpochMillis {
    return this.#clock.wall()
  }
}

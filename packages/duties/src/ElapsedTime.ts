import { millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import type { ElapsedClock } from './ElapsedClock.js'

/** A moment, to measure the time since. */
export interface ElapsedMark {
  readonly steady: number
  readonly boot: number
  readonly wall: number
}

/**
 * Measures elapsed time as the maximum of what the steady, the boot-time and the wall clock report, so that it is never
 * less than the true time. The wall clock counts forwards only: a jump back must not hide the time before it.
 *
 * @example
 * const begun = time.mark()
 * if (time.since(begun) < leaseTime) act()
 */
export class ElapsedTime {
  readonly #clock: Clock
  readonly #elapsed: ElapsedClock
  #lastWall: number
  #wallTotal = 0

  constructor (clock: Clock, elapsed: ElapsedClock) {
    this.#clock = clock
    this.#elapsed = elapsed
    this.#lastWall = elapsed.wall()
  }

  mark (): ElapsedMark {
    return { steady: this.#clock.now(), boot: this.#elapsed.boot(), wall: this.#readWall() }
  }

  since (mark: ElapsedMark): Millis {
    const now = this.mark()
    return millis(Math.max(now.steady - mark.steady, now.boot - mark.boot, now.wall - mark.wall))
  }

  #readWall (): number {
    const wall = this.#elapsed.wall()
    this.#wallTotal += Math.max(0, wall - this.#lastWall)
    this.#lastWall = wall
    return this.#wallTotal
  }
}

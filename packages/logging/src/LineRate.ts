import type { EventLevel } from '@papayahill/common'
import { COUNT_PERIOD, MAX_FAILURE_LINES_PER_SECOND, MAX_LINES_PER_SECOND } from './constants.js'

type Lane = 'usual' | 'failures'

const LANES: Readonly<Record<EventLevel, Lane>> = { debug: 'usual', info: 'usual', warn: 'failures', error: 'failures' }
const LIMITS: Readonly<Record<Lane, number>> = { usual: MAX_LINES_PER_SECOND, failures: MAX_FAILURE_LINES_PER_SECOND }

/** Bounds the lines of each second, those of failures apart from the others. */
export class LineRate {
  #second = -1
  readonly #written: Record<Lane, number> = { usual: 0, failures: 0 }
  /** Lines left out since the last count. */
  #leftOut = 0

  /** Whether one more line may be written now. */
  take (level: EventLevel, now: number): boolean {
    const second = Math.floor(now / COUNT_PERIOD)
    if (second !== this.#second) this.#begin(second)
    const lane = LANES[level]
    if (this.#written[lane] >= LIMITS[lane]) {
      this.#leftOut++
      return false
    }
    this.#written[lane]++
    return true
  }

  dropped (): void {
    this.#leftOut++
  }

  /** Takes the count of lines that were left out, once the second in which they were is over. */
  takeLeftOut (now: number): number {
    if (Math.floor(now / COUNT_PERIOD) === this.#second) return 0
    const count = this.#leftOut
    this.#leftOut = 0
    return count
  }

  #begin (second: number): void {
    this.#second = second
    this.#written.usual = 0
    this.#written.failures = 0
  }
}

import type { EventLevel } from '@papayahill/common'
import { COUNT_PERIOD, MAX_FAILURE_LINES_PER_SECOND, MAX_LINES_PER_SECOND } from './constants.js'

type LineGroup = 'usual' | 'failures'

const GROUP_OF_LEVEL: Readonly<Record<EventLevel, LineGroup>> = { debug: 'usual', info: 'usual', warn: 'failures', error: 'failures' }
const LIMITS: Readonly<Record<LineGroup, number>> = { usual: MAX_LINES_PER_SECOND, failures: MAX_FAILURE_LINES_PER_SECOND }

/** Limits the lines per second, with a separate limit for failures. */
export class LineRateLimiter {
  #second = -1
  readonly #written: Record<LineGroup, number> = { usual: 0, failures: 0 }
  /** Lines dropped since the last call of takeDroppedCount. */
  #dropped = 0

  /** Whether one more line may be written now; counts the line as written or dropped. */
  tryTake (level: EventLevel, now: number): boolean {
    const second = Math.floor(now / COUNT_PERIOD)
    if (second !== this.#second) this.#startSecond(second)
    const group = GROUP_OF_LEVEL[level]
    if (this.#written[group] >= LIMITS[group]) {
      this.#dropped++
      return false
    }
    this.#written[group]++
    return true
  }

  countDropped (): void {
    this.#dropped++
  }

  /** Returns and resets the number of dropped lines, once the second in which they were dropped is over. */
  takeDroppedCount (now: number): number {
    if (Math.floor(now / COUNT_PERIOD) === this.#second) return 0
    const count = this.#dropped
    this.#dropped = 0
    return count
  }

  #startSecond (second: number): void {
    this.#second = second
    this.#written.usual = 0
    this.#written.failures = 0
  }
}

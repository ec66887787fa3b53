import type { Millis } from '@papayahill/common'
import {
  DEVIATION_WEIGHT, INITIAL_DEVIATION, MAX_OUTLIER, MAX_TIME_RATIO, MIN_OUTLIER, MIN_SPEED_WEIGHT, OUTLIER_DEVIATIONS, OUTLIERS_OF_CHANGE,
  SPEED_HALF_LIFE, SPEED_TIME_CONSTANT
} from './constants.js'

const MAX_TIME_FACTOR = Math.log(MAX_TIME_RATIO)

/** One call, compared with the usual. */
export interface SpeedSample {
  /** Logarithm of its time as a multiple of the usual time, without the effects of concurrency and momentary slowness. */
  readonly ratio: number
  readonly startedAt: Millis
  readonly endedAt: Millis
}

/** By how much a call deviates from what was expected, as a logarithm. */
export interface SpeedDeviation {
  /** Before the call was learnt from, bounded for outliers. */
  readonly bounded: number
  /** After it was learnt from; undefined for an outlier. */
  readonly rest: number | undefined
  /** Whether outliers have shown that the speed has changed. */
  readonly isChange: boolean
}

/**
 * The time that work takes at one endpoint, as a multiple of the usual, learnt from calls with exponential forgetting. It
 * follows a change within 1 to 2 s and limits the effect of outliers: single ones, and several that one pause or one cut path
 * caused in calls at the same time.
 *
 * @example
 * const speed = new SpeedEstimate()
 * speed.add({ ratio: Math.log(1.7), startedAt, endedAt })
 * Math.exp(speed.level(now, 0))
 */
export class SpeedEstimate {
  #level = 0
  /** Calls that it counts for; those of a new estimate stand for the service's mean. */
  #weight = MIN_SPEED_WEIGHT
  #deviation = INITIAL_DEVIATION
  #outliers = 0
  /** Sign of the last outliers, and the end of the last one that counted. */
  #outlierSign = 0
  #outlierEndedAt: Millis | undefined
  #updatedAt: Millis | undefined
  #calls = 0

  /** Number of calls that it was learnt from. */
  get calls (): number {
    return this.#calls
  }

  /** Usual deviation of a call's logarithm from the level. */
  get deviation (): number {
    return this.#deviation
  }

  /** Monotonic time of the newest call that counted. */
  get updatedAt (): Millis | undefined {
    return this.#updatedAt
  }

  /** The logarithm of the multiple; without recent calls it returns to `mean`. */
  level (now: Millis, mean: number): number {
    if (this.#updatedAt === undefined) return mean
    return mean + (this.#level - mean) * 0.5 ** (Math.max(0, now - this.#updatedAt) / SPEED_HALF_LIFE)
  }

  /** Records a call; returns by how much it deviates from what was expected. */
  add ({ ratio, startedAt, endedAt }: SpeedSample, mean: number): SpeedDeviation {
    const level = this.level(endedAt, mean)
    const error = Math.max(-MAX_TIME_FACTOR, Math.min(MAX_TIME_FACTOR, ratio - level))
    const outlierFrom = Math.min(MAX_OUTLIER, Math.max(MIN_OUTLIER, OUTLIER_DEVIATIONS * this.#deviation))
    const isOutlier = Math.abs(error) > outlierFrom
    const bounded = Math.sign(error) * Math.min(outlierFrom, Math.abs(error))
    if (isOutlier && !this.#countOutlier(error, startedAt, endedAt)) return { bounded, rest: undefined, isChange: false }
    if (!isOutlier) this.#outliers = 0
    const isChange = this.#outliers >= OUTLIERS_OF_CHANGE
    this.#forget(endedAt, isChange)
    this.#weight++
    this.#level = level + (isChange ? error : bounded) / this.#weight
    this.#deviation += DEVIATION_WEIGHT * (Math.abs(isChange ? error : bounded) * Math.sqrt(Math.PI / 2) - this.#deviation)
    this.#updatedAt = endedAt
    this.#calls++
    return { bounded, rest: isOutlier ? undefined : ratio - this.#level, isChange }
  }

  /** Moves the level without a call, as when the shape over concurrency is estimated anew. */
  shift (change: number): void {
    this.#level += change
  }

  #forget (now: Millis, isChange: boolean): void {
    const kept = this.#weight * Math.exp(-Math.max(0, now - (this.#updatedAt ?? now)) / SPEED_TIME_CONSTANT)
    if (isChange) this.#weight = 0
    else if (this.#weight > MIN_SPEED_WEIGHT) this.#weight = Math.max(MIN_SPEED_WEIGHT, kept)
    if (isChange) this.#outliers = 0
  }

  /** Counts an outlier; returns false if it overlaps the last one, whose cause it may share. */
  #countOutlier (error: number, startedAt: Millis, endedAt: Millis): boolean {
    if (this.#outlierEndedAt !== undefined && startedAt < this.#outlierEndedAt) return false
    this.#outliers = Math.sign(error) === this.#outlierSign ? this.#outliers + 1 : 1
    this.#outlierSign = Math.sign(error)
    this.#outlierEndedAt = endedAt
    return true
  }
}

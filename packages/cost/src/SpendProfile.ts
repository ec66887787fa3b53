import { isWeekend } from './dayOf.js'

export const HOURS_PER_DAY = 24
/** Days that the usual course remembers; older ones fade. */
const MEMORY_DAYS = 10
/** Days of one kind that are needed before working days and weekends are told apart. */
const MIN_LIKE_DAYS = 2
const DAYS_PER_WEEK = 7
const TOTALS_KEPT = 2 * DAYS_PER_WEEK

/** Spend of one day by hour. */
export type HourlySpend = ArrayLike<number>

class Course {
  readonly hours = new Float32Array(HOURS_PER_DAY)
  days = 0

  learn (hours: HourlySpend): void {
    this.days++
    const weight = 1 / Math.min(this.days, MEMORY_DAYS)
    for (let hour = 0; hour < HOURS_PER_DAY; hour++) this.hours[hour]! += weight * (hours[hour]! - this.hours[hour]!)
  }
}

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0)

/**
 * The usual course of one budget's spend over the day, apart for working days and weekends, and its growth
 * from week to week. It takes a few hundred bytes, whatever the history.
 *
 * @example
 * profile.learn('2027-01-03', hours)
 * profile.usual('2027-01-04')[9] // usual spend between nine and ten
 */
export class SpendProfile {
  readonly #all = new Course()
  readonly #working = new Course()
  readonly #weekend = new Course()
  readonly #totals: number[] = []
  #newest = ''

  get days (): number {
    return this.#all.days
  }

  /** The last day taken in; empty before the first. */
  get newest (): string {
    return this.#newest
  }

  /** Takes in a past day; days come in order. */
  learn (day: string, hours: HourlySpend): void {
    if (day <= this.#newest) return
    this.#newest = day
    this.#all.learn(hours)
    this.#courseOf(day).learn(hours)
    this.#totals.push(sumOf(Array.from(hours)))
    if (this.#totals.length > TOTALS_KEPT) this.#totals.shift()
  }

  usual (day: string): Float32Array {
    const course = this.#courseOf(day)
    return (course.days >= MIN_LIKE_DAYS ? course : this.#all).hours
  }

  /** Spend of the last week over that of the week before; 1 where two weeks are not known. */
  growth (): number {
    if (this.#totals.length < TOTALS_KEPT) return 1
    const before = sumOf(this.#totals.slice(0, DAYS_PER_WEEK))
    return before === 0 ? 1 : sumOf(this.#totals.slice(DAYS_PER_WEEK)) / before
  }

  #courseOf (day: string): Course {
    return isWeekend(day) ? this.#weekend : this.#working
  }
}

import { isWeekend } from './dayOf.js'

export const HOURS_PER_DAY = 24
/** Days after which the average becomes a moving one, in which older days decay. */
const AVERAGING_DAYS = 10
/** Days of a kind that are needed before working days or weekends get an average of their own. */
const MIN_DAYS_PER_KIND = 2
const DAYS_PER_WEEK = 7
const TOTALS_KEPT = 2 * DAYS_PER_WEEK

/** Spend of one day by hour. */
export type HourlySpend = ArrayLike<number>

class HourlyAverage {
  readonly hours = new Float32Array(HOURS_PER_DAY)
  dayCount = 0

  add (hours: HourlySpend): void {
    this.dayCount++
    const weight = 1 / Math.min(this.dayCount, AVERAGING_DAYS)
    for (let hour = 0; hour < HOURS_PER_DAY; hour++) this.hours[hour]! += weight * (hours[hour]! - this.hours[hour]!)
  }
}

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0)

/**
 * Typical spend of a budget by hour of the day, separately for working days and weekends, and its growth from week
 * to week. It takes a few hundred bytes, however long the history is.
 *
 * @example
 * profile.addDay('2027-01-03', hours)
 * profile.typicalHours('2027-01-04')[9] // typical spend between 9:00 and 10:00
 */
export class SpendProfile {
  readonly #all = new HourlyAverage()
  readonly #working = new HourlyAverage()
  readonly #weekend = new HourlyAverage()
  readonly #totals: number[] = []
  #lastDay = ''

  get dayCount (): number {
    return this.#all.dayCount
  }

  /** The last day that was added; empty before the first. */
  get lastDay (): string {
    return this.#lastDay
  }

  /** Adds a past day. Days must be added in order; earlier ones are ignored. */
  addDay (day: string, hours: HourlySpend): void {
    if (day <= this.#lastDay) return
    this.#lastDay = day
    this.#all.add(hours)
    this.#averageOf(day).add(hours)
    this.#totals.push(sumOf(Array.from(hours)))
    if (this.#totals.length > TOTALS_KEPT) this.#totals.shift()
  }

  typicalHours (day: string): Float32Array {
    const average = this.#averageOf(day)
    return (average.dayCount >= MIN_DAYS_PER_KIND ? average : this.#all).hours
  }

  /** Ratio of the last week's spend to that of the week before; 1 if there is less than two weeks of history. */
  weeklyGrowth (): number {
    if (this.#totals.length < TOTALS_KEPT) return 1
    const before = sumOf(this.#totals.slice(0, DAYS_PER_WEEK))
    return before === 0 ? 1 : sumOf(this.#totals.slice(DAYS_PER_WEEK)) / before
  }

  #averageOf (day: string): HourlyAverage {
    return isWeekend(day) ? this.#weekend : this.#working
  }
}

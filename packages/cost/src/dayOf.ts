import { epochMillis, MILLIS_PER_DAY, MILLIS_PER_HOUR } from '@papayahill/common'
import type { EpochMillis } from '@papayahill/common'

const DAY_LENGTH = 'YYYY-MM-DD'.length
const MONTH_LENGTH = 'YYYY-MM'.length
const DAYS_PER_WEEK = 7
/** 1 January 1970 was a Thursday. */
const EPOCH_WEEKDAY = 4

/**
 * The calendar day in UTC.
 *
 * @example
 * dayOf(epochMillis(Date.UTC(2027, 0, 4))) // '2027-01-04'
 */
export const dayOf = (at: EpochMillis): string => new Date(at).toISOString().slice(0, DAY_LENGTH)

export const monthOf = (day: string): string => day.slice(0, MONTH_LENGTH)

/** Hour of the day in UTC, from 0 to 23. */
export const hourOf = (at: EpochMillis): number => Math.floor(at % MILLIS_PER_DAY / MILLIS_PER_HOUR)

export const startOfDay = (day: string): EpochMillis => epochMillis(Date.parse(`${day}T00:00:00Z`))

/** The day `count` days after the given one, or before it if `count` is negative. */
export const addDays = (day: string, count: number): string =>
  dayOf(epochMillis(startOfDay(day) + count * MILLIS_PER_DAY))

/** All days from the first to the last, inclusive. */
export const daysBetween = (fromDay: string, toDay: string): readonly string[] => {
  const days: string[] = []
  for (let day = fromDay; day <= toDay; day = addDays(day, 1)) days.push(day)
  return days
}

/** Day of the week, starting with 0 for Sunday. */
export const weekdayOf = (day: string): number =>
  (Math.floor(startOfDay(day) / MILLIS_PER_DAY) + EPOCH_WEEKDAY) % DAYS_PER_WEEK

export const isWeekend = (day: string): boolean => weekdayOf(day) === 0 || weekdayOf(day) === DAYS_PER_WEEK - 1

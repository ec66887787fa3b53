import { epochMillis, microUnits, MILLIS_PER_HOUR } from '@papayahill/common'
import type { EpochMillis, MicroUnits } from '@papayahill/common'
import { FORECAST_MIN_DURATION, GROWTH_FORECAST_DAYS, MIN_GROWTH, NEAR_FORECAST_SPAN, RECENT_SPAN, SAMPLE_PERIOD } from './constants.js'
import { addDays, dayOf, startOfDay } from './dayOf.js'
import { HOURS_PER_DAY, SpendProfile } from './SpendProfile.js'

/** Hours of typical spend added to numerator and denominator of the ratio of recent to typical spend, to smooth it. */
const SMOOTHING_HOURS = 0.5
/** Without history a forecast covers only this span. */
const NO_HISTORY_SPAN = 2 * MILLIS_PER_HOUR
const DAYS_PER_WEEK = 7

interface Sample {
  readonly at: EpochMillis
  /** Spend of the day up to this time. */
  readonly spent: number
}

/** Expected spend up to the end of a budget's period. */
export interface SpendForecast {
  readonly total: MicroUnits
  readonly passesAt: EpochMillis | undefined
}

/** How much may be spent, and until when. */
export interface SpendLimit {
  /** Amount that may be spent from today to the last day. */
  readonly limit: number
  /** The last day of the budget's period. */
  readonly lastDay: string
}

/** Expected spend in one hour, or in the rest of the current one. */
interface HourForecast {
  readonly from: number
  readonly to: number
  readonly spend: number
}

/**
 * Forecasts the spend of a budget from its typical spend by hour and kind of day, scaled by the ratio of recent to
 * typical spend.
 *
 * @example
 * const forecaster = new SpendForecaster()
 * forecaster.profile.addDay('2027-01-03', hours)
 * forecaster.observe(clock.wall(), spentToday)
 * forecaster.forecast(clock.wall(), { limit, lastDay: '2027-01-04' })
 */
export class SpendForecaster {
  readonly profile = new SpendProfile()
  #samples: Sample[] = []
  #exceedsSince: EpochMillis | undefined

  /** Records the spend of today up to now. */
  observe (at: EpochMillis, spent: number): void {
    const newest = this.#samples[this.#samples.length - 1]
    if (newest !== undefined && dayOf(newest.at) !== dayOf(at)) this.#samples = []
    else if (newest !== undefined && at - newest.at < SAMPLE_PERIOD) return
    this.#samples.push({ at, spent })
    while (at - this.#samples[0]!.at > RECENT_SPAN) this.#samples.shift()
  }

  /** Forecasts the total spend from today to the last day, and when it will exceed the limit. */
  forecast (at: EpochMillis, { limit, lastDay }: SpendLimit): SpendForecast {
    const spent = this.#samples[this.#samples.length - 1]?.spent ?? 0
    if (this.profile.dayCount === 0) return this.#forecastWithoutHistory(at, spent, limit)
    let total = spent
    let passesAt = spent > limit ? at : undefined
    for (const { from, to, spend } of this.#remainingHours(at, lastDay)) {
      if (passesAt === undefined && total + spend > limit) passesAt = epochMillis(Math.round(from + (to - from) * (limit - total) / spend))
      total += spend
    }
    return { total: microUnits(Math.round(total)), passesAt }
  }

  /** When steady growth will exceed a daily budget in the next days; undefined if it will not. */
  passesByGrowthAt (today: string, limit: number): EpochMillis | undefined {
    const growth = this.profile.weeklyGrowth()
    if (growth < MIN_GROWTH) return undefined
    for (let ahead = 1; ahead <= GROWTH_FORECAST_DAYS; ahead++) {
      const day = addDays(today, ahead)
      const typical = this.profile.typicalHours(day).reduce((sum, spend) => sum + spend, 0)
      if (typical * growth ** (1 + ahead / DAYS_PER_WEEK) > limit) return startOfDay(addDays(day, 1))
    }
    return undefined
  }

  /** Whether a forecast has lasted long enough, or is near enough, to be reported. */
  isCertain (at: EpochMillis, passesAt: EpochMillis | undefined): boolean {
    if (passesAt === undefined) {
      this.#exceedsSince = undefined
      return false
    }
    this.#exceedsSince ??= at
    const duration = at - this.#exceedsSince
    return duration >= FORECAST_MIN_DURATION || (duration >= SAMPLE_PERIOD && passesAt - at < NEAR_FORECAST_SPAN)
  }

  /** Typical spend of each remaining hour; today's hours are scaled by the recent rate. */
  * #remainingHours (at: EpochMillis, lastDay: string): Generator<HourForecast> {
    const today = dayOf(at)
    const factor = this.#recentFactor(today)
    for (let day = today; day <= lastDay; day = addDays(day, 1)) {
      const typical = this.profile.typicalHours(day)
      for (let hour = 0; hour < HOURS_PER_DAY; hour++) {
        const start = startOfDay(day) + hour * MILLIS_PER_HOUR
        const from = Math.max(at, start)
        const part = Math.max(0, start + MILLIS_PER_HOUR - from) / MILLIS_PER_HOUR
        const spend = typical[hour]! * part * (day === today ? factor : 1)
        if (part > 0) yield { from, to: start + MILLIS_PER_HOUR, spend }
      }
    }
  }

  /** Ratio of the spend in the recent span to the typical spend in it. */
  #recentFactor (today: string): number {
    const first = this.#samples[0]
    const last = this.#samples[this.#samples.length - 1]
    const typical = this.profile.typicalHours(today)
    const smoothing = SMOOTHING_HOURS * typical.reduce((sum, spend) => sum + spend, 0) / HOURS_PER_DAY
    if (first === undefined || last === undefined || smoothing === 0) return 1
    return (last.spent - first.spent + smoothing) / (typicalBetween(typical, first.at, last.at) + smoothing)
  }

  /** Without history, extrapolates the recent rate over a short span. */
  #forecastWithoutHistory (at: EpochMillis, spent: number, limit: number): SpendForecast {
    if (spent > limit) return { total: microUnits(spent), passesAt: at }
    const first = this.#samples[0]
    const span = at - (first?.at ?? at)
    if (first === undefined || span < RECENT_SPAN / 2) return { total: microUnits(spent), passesAt: undefined }
    const rate = (spent - first.spent) / span
    const total = Math.round(spent + rate * NO_HISTORY_SPAN)
    return { total: microUnits(total), passesAt: total > limit ? epochMillis(Math.round(at + (limit - spent) / rate)) : undefined }
  }
}

/** Typical spend between two times of the same day. */
const typicalBetween = (typical: Float32Array, from: EpochMillis, to: EpochMillis): number => {
  const start = startOfDay(dayOf(to))
  return typical.reduce((sum, spend, hour) => {
    const hourStart = start + hour * MILLIS_PER_HOUR
    const overlap = Math.min(to, hourStart + MILLIS_PER_HOUR) - Math.max(from, hourStart)
    return sum + spend * Math.max(0, overlap) / MILLIS_PER_HOUR
  }, 0)
}

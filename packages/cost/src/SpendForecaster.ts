import { epochMillis, microUnits, MILLIS_PER_HOUR } from '@papayahill/common'
import type { EpochMillis, MicroUnits } from '@papayahill/common'
import { DAYS_AHEAD, MIN_GROWTH, NEAR_SPAN, PATIENCE, RECENT_SPAN, SAMPLE_PERIOD } from './constants.js'
import { addDays, dayOf, startOfDay } from './dayOf.js'
import { HOURS_PER_DAY, SpendProfile } from './SpendProfile.js'

/** Weight of usual spend, in hours of it, that steadies the ratio of today's spend to it. */
const STEADYING_HOURS = 0.5
/** Without history a forecast reaches no further than this. */
const BLIND_SPAN = 2 * MILLIS_PER_HOUR
const DAYS_PER_WEEK = 7

interface Sample {
  readonly at: EpochMillis
  /** Spend of the day up to then. */
  readonly spent: number
}

/** What one period's spend will come to. */
export interface SpendForecast {
  readonly total: MicroUnits
  readonly passesAt: EpochMillis | undefined
}

/** What may be spent until when. */
export interface SpendLimit {
  /** What is left for today and the days after. */
  readonly left: number
  /** The last day of the budget's period. */
  readonly lastDay: string
}

/** One hour's coming spend. */
interface Coming {
  readonly from: number
  readonly to: number
  readonly spend: number
}

/**
 * Forecasts one budget's spend from its usual course over the day and week and from how the last while
 * compares with it.
 *
 * @example
 * const forecaster = new SpendForecaster()
 * forecaster.profile.learn('2027-01-03', hours)
 * forecaster.observe(clock.wall(), spentToday)
 * forecaster.forecast(clock.wall(), { left, lastDay: '2027-01-04' })
 */
export class SpendForecaster {
  readonly profile = new SpendProfile()
  #samples: Sample[] = []
  #passesSince: EpochMillis | undefined

  /** Takes in what was spent today up to now. */
  observe (at: EpochMillis, spent: number): void {
    const newest = this.#samples[this.#samples.length - 1]
    if (newest !== undefined && dayOf(newest.at) !== dayOf(at)) this.#samples = []
    else if (newest !== undefined && at - newest.at < SAMPLE_PERIOD) return
    this.#samples.push({ at, spent })
    while (at - this.#samples[0]!.at > RECENT_SPAN) this.#samples.shift()
  }

  /** What today and the days up to the last will come to, and when nothing will be left. */
  forecast (at: EpochMillis, { left, lastDay }: SpendLimit): SpendForecast {
    const spent = this.#samples[this.#samples.length - 1]?.spent ?? 0
    if (this.profile.days === 0) return this.#blind(at, spent, left)
    let total = spent
    let passesAt = spent > left ? at : undefined
    for (const { from, to, spend } of this.#coming(at, lastDay)) {
      if (passesAt === undefined && total + spend > left) passesAt = epochMillis(Math.round(from + (to - from) * (left - total) / spend))
      total += spend
    }
    return { total: microUnits(Math.round(total)), passesAt }
  }

  /** When a day budget will be passed in the next days by steady growth; undefined where it will not. */
  daysAhead (today: string, limit: number): EpochMillis | undefined {
    const growth = this.profile.growth()
    if (growth < MIN_GROWTH) return undefined
    for (let ahead = 1; ahead <= DAYS_AHEAD; ahead++) {
      const day = addDays(today, ahead)
      const usual = this.profile.usual(day).reduce((sum, spend) => sum + spend, 0)
      if (usual * growth ** (1 + ahead / DAYS_PER_WEEK) > limit) return startOfDay(addDays(day, 1))
    }
    return undefined
  }

  /** Whether a forecast has lasted long enough, or is near enough, to be told. */
  isCertain (at: EpochMillis, passesAt: EpochMillis | undefined): boolean {
    if (passesAt === undefined) {
      this.#passesSince = undefined
      return false
    }
    this.#passesSince ??= at
    const lasted = at - this.#passesSince
    return lasted >= PATIENCE || (lasted >= SAMPLE_PERIOD && passesAt - at < NEAR_SPAN)
  }

  /** Usual spend of each hour to come; today's at the rate of the last while. */
  * #coming (at: EpochMillis, lastDay: string): Generator<Coming> {
    const today = dayOf(at)
    const factor = this.#recentFactor(today)
    for (let day = today; day <= lastDay; day = addDays(day, 1)) {
      const usual = this.profile.usual(day)
      for (let hour = 0; hour < HOURS_PER_DAY; hour++) {
        const start = startOfDay(day) + hour * MILLIS_PER_HOUR
        const from = Math.max(at, start)
        const part = Math.max(0, start + MILLIS_PER_HOUR - from) / MILLIS_PER_HOUR
        const spend = usual[hour]! * part * (day === today ? factor : 1)
        if (part > 0) yield { from, to: start + MILLIS_PER_HOUR, spend }
      }
    }
  }

  /** Spend of the last while over what is usual for it. */
  #recentFactor (today: string): number {
    const first = this.#samples[0]
    const last = this.#samples[this.#samples.length - 1]
    const usual = this.profile.usual(today)
    const steadying = STEADYING_HOURS * usual.reduce((sum, spend) => sum + spend, 0) / HOURS_PER_DAY
    if (first === undefined || last === undefined || steadying === 0) return 1
    return (last.spent - first.spent + steadying) / (usualBetween(usual, first.at, last.at) + steadying)
  }

  /** Without history the rate of the last while goes on, and only the near future is told. */
  #blind (at: EpochMillis, spent: number, left: number): SpendForecast {
    if (spent > left) return { total: microUnits(spent), passesAt: at }
    const first = this.#samples[0]
    const span = at - (first?.at ?? at)
    if (first === undefined || span < RECENT_SPAN / 2) return { total: microUnits(spent), passesAt: undefined }
    const rate = (spent - first.spent) / span
    const total = Math.round(spent + rate * BLIND_SPAN)
    return { total: microUnits(total), passesAt: total > left ? epochMillis(Math.round(at + (left - spent) / rate)) : undefined }
  }
}

/** Usual spend between two times of one day. */
const usualBetween = (usual: Float32Array, from: EpochMillis, to: EpochMillis): number => {
  const start = startOfDay(dayOf(to))
  return usual.reduce((sum, spend, hour) => {
    const begins = start + hour * MILLIS_PER_HOUR
    const overlap = Math.min(to, begins + MILLIS_PER_HOUR) - Math.max(from, begins)
    return sum + spend * Math.max(0, overlap) / MILLIS_PER_HOUR
  }, 0)
}

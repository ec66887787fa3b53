import { microUnits } from '@papayahill/common'
import type { ClassId, EpochMillis, MicroUnits, StageId } from '@papayahill/common'
import type { BudgetSettings } from '@papayahill/settings'
import { FORECAST_MARGIN } from './constants.js'
import { addDays, dayOf, hourOf, monthOf } from './dayOf.js'
import { costInHour, signOf } from './LedgerLine.js'
import type { LedgerLine } from './LedgerLine.js'
import { SpendForecaster } from './SpendForecaster.js'
import type { SpendForecast } from './SpendForecaster.js'
import { HOURS_PER_DAY } from './SpendProfile.js'
import type { BudgetForecast } from './types.js'

type Driver = NonNullable<BudgetForecast['driver']>

/** Spend of one class and stage that counts against a budget. */
interface DriverSpend {
  readonly driver: Driver
  readonly hourly: Float64Array
  /** Total spend of past days. */
  past: number
}

/** The last notice about a budget in its current period. */
export type BudgetNotice = 'nothing' | 'forecast' | 'calm' | 'passed'

const MAX_DAYS_IN_MONTH = 31

const lastDayOf = (day: string, period: BudgetSettings['period']): string => {
  if (period === 'day') return day
  let last = day
  for (let ahead = 1; ahead <= MAX_DAYS_IN_MONTH && monthOf(addDays(day, ahead)) === monthOf(day); ahead++) last = addDays(day, ahead)
  return last
}

/** Identifies a budget; the key changes whenever one of its settings does. */
export const budgetKey = ({ workspace, class: classId, stage, period, limit, atLimit }: BudgetSettings): string =>
  [workspace, classId ?? '*', stage ?? '*', period, limit, atLimit].join(' ')

/**
 * A budget with the spend of all instances that counts against it.
 *
 * @example
 * const account = new BudgetAccount(budget)
 * account.setToday(day, lines)
 * account.evaluate(clock.wall())
 */
export class BudgetAccount {
  readonly budget: BudgetSettings
  readonly forecaster = new SpendForecaster()
  lastNotice: BudgetNotice = 'nothing'
  readonly #spendByDriver = new Map<string, DriverSpend>()
  #today = ''
  #spentToday = 0
  /** Spend of this instance since today's lines were last read. */
  #ownSpendSinceRead = 0
  #spentOnEarlierDays = 0
  #latest: SpendForecast = { total: microUnits(0), passesAt: undefined }

  constructor (budget: BudgetSettings) {
    this.budget = budget
  }

  get spent (): MicroUnits {
    return microUnits(this.#spentOnEarlierDays + this.#spentToday + this.#ownSpendSinceRead)
  }

  /** Whether the latest forecast stays within the budget. */
  get isForecastWithinLimit (): boolean {
    return this.#latest.passesAt === undefined
  }

  get isUsedUp (): boolean {
    return this.spent >= this.budget.limit
  }

  covers (classId: ClassId, stage: StageId): boolean {
    const { class: ofClass, stage: ofStage } = this.budget
    return (ofClass === undefined || ofClass === classId) && (ofStage === undefined || ofStage === stage)
  }

  /** Counts spend of this instance immediately, before the ledger is read again. */
  addOwnSpend (cost: number): void {
    this.#ownSpendSinceRead += cost
  }

  /** Adds the lines of a past day. Each day must be added once, in order. */
  addPastDay (day: string, lines: Iterable<LedgerLine>): void {
    const hours = new Float64Array(HOURS_PER_DAY)
    for (const line of lines) {
      const part = this.#driverSpendOf(line)
      for (let hour = 0; hour < HOURS_PER_DAY; hour++) {
        const cost = signOf(line.id) * costInHour(line, hour)
        hours[hour]! += cost
        part.past += cost
      }
    }
    this.forecaster.profile.addDay(day, hours)
    if (this.budget.period === 'month') this.#addToMonth(day, hours.reduce((sum, cost) => sum + cost, 0))
  }

  /** Replaces today's spend by the given lines, which include what this instance added since the last call. */
  setToday (day: string, lines: Iterable<LedgerLine>): void {
    if (day !== this.#today) this.#startDay(day)
    for (const { hourly } of this.#spendByDriver.values()) hourly.fill(0)
    this.#spentToday = 0
    this.#ownSpendSinceRead = 0
    for (const line of lines) {
      const part = this.#driverSpendOf(line)
      for (let hour = 0; hour < HOURS_PER_DAY; hour++) {
        const cost = signOf(line.id) * costInHour(line, hour)
        part.hourly[hour]! += cost
        this.#spentToday += cost
      }
    }
  }

  /** Recomputes the forecast and returns whether it is certain enough to be reported. */
  evaluate (at: EpochMillis): boolean {
    const { limit, period } = this.budget
    if (this.#today === '') this.#startDay(dayOf(at))
    this.forecaster.observe(at, this.#spentToday + this.#ownSpendSinceRead)
    const spendLimit = { limit: limit - this.#spentOnEarlierDays, lastDay: lastDayOf(this.#today, period) }
    const forecast = this.forecaster.forecast(at, spendLimit)
    const ahead = period === 'day' ? this.forecaster.passesByGrowthAt(this.#today, limit) : undefined
    this.#latest = { total: forecast.total, passesAt: forecast.passesAt ?? ahead }
    const isClearlyExceeded = ahead !== undefined || this.#spentOnEarlierDays + forecast.total > limit * (1 + FORECAST_MARGIN)
    return this.forecaster.isCertain(at, isClearlyExceeded ? this.#latest.passesAt : undefined)
  }

  toForecast (at: EpochMillis): BudgetForecast {
    const { total, passesAt } = this.#latest
    const forecast = microUnits(this.#spentOnEarlierDays + total)
    return { budget: this.budget, spent: this.spent, forecast, passesAt, driver: this.#driver(at) }
  }

  /** The class and stage whose spend in the last two hours is furthest above its typical share. */
  #driver (at: EpochMillis): Driver | undefined {
    const hour = hourOf(at)
    const recent = ({ hourly }: DriverSpend): number => hourly[hour]! + (hour > 0 ? hourly[hour - 1]! : 0)
    const parts = [...this.#spendByDriver.values()]
    const past = parts.reduce((sum, part) => sum + part.past, 0)
    const typical = this.forecaster.profile.typicalHours(this.#today)
    const expected = typical[hour]! + (hour > 0 ? typical[hour - 1]! : 0)
    const excess = (part: DriverSpend): number => recent(part) - (past === 0 ? 0 : expected * part.past / past)
    return parts.sort((left, right) => excess(right) - excess(left))[0]?.driver
  }

  #startDay (day: string): void {
    const isNewPeriod = this.budget.period === 'day' || monthOf(day) !== monthOf(this.#today)
    if (isNewPeriod) this.lastNotice = 'nothing'
    if (this.#today !== '' && monthOf(day) !== monthOf(this.#today)) this.#spentOnEarlierDays = 0
    this.#today = day
  }

  #addToMonth (day: string, spent: number): void {
    if (this.#today === '' || monthOf(day) === monthOf(this.#today)) this.#spentOnEarlierDays += spent
  }

  #driverSpendOf ({ id }: LedgerLine): DriverSpend {
    const key = `${id.class} ${id.stage}`
    const part = this.#spendByDriver.get(key) ?? {
      driver: { class: id.class, stage: id.stage }, hourly: new Float64Array(HOURS_PER_DAY), past: 0
    }
    this.#spendByDriver.set(key, part)
    return part
  }
}

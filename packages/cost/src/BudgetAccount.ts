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

/** Spend of one class and stage under a budget. */
interface Part {
  readonly driver: Driver
  readonly hours: Float64Array
  /** Spend of past days. */
  past: number
}

/** What operators have been told of a budget in its period. */
export type Told = 'nothing' | 'forecast' | 'calm' | 'passed'

const MONTHS_LAST_DAY = 31

const lastDayOf = (day: string, period: BudgetSettings['period']): string => {
  if (period === 'day') return day
  let last = day
  for (let ahead = 1; ahead <= MONTHS_LAST_DAY && monthOf(addDays(day, ahead)) === monthOf(day); ahead++) last = addDays(day, ahead)
  return last
}

/** A name for a budget that stays while its settings stay. */
export const budgetKey = ({ workspace, class: classId, stage, period, limit, atLimit }: BudgetSettings): string =>
  [workspace, classId ?? '*', stage ?? '*', period, limit, atLimit].join(' ')

/**
 * One budget with what has been spent under it by all instances.
 *
 * @example
 * const account = new BudgetAccount(budget)
 * account.setToday(day, lines)
 * account.evaluate(clock.wall())
 */
export class BudgetAccount {
  readonly budget: BudgetSettings
  readonly forecaster = new SpendForecaster()
  told: Told = 'nothing'
  readonly #parts = new Map<string, Part>()
  #today = ''
  #spentToday = 0
  /** This instance's own spend since today's lines were last read. */
  #spentSince = 0
  #spentBefore = 0
  #newest: SpendForecast = { total: microUnits(0), passesAt: undefined }

  constructor (budget: BudgetSettings) {
    this.budget = budget
  }

  get spent (): MicroUnits {
    return microUnits(this.#spentBefore + this.#spentToday + this.#spentSince)
  }

  /** Whether the newest forecast stays within the budget. */
  get isCalm (): boolean {
    return this.#newest.passesAt === undefined
  }

  get isUsedUp (): boolean {
    return this.spent >= this.budget.limit
  }

  covers (classId: ClassId, stage: StageId): boolean {
    const { class: ofClass, stage: ofStage } = this.budget
    return (ofClass === undefined || ofClass === classId) && (ofStage === undefined || ofStage === stage)
  }

  /** Adds spend of this instance at once, before the lines are read again. */
  add (cost: number): void {
    this.#spentSince += cost
  }

  /** Takes in a past day's lines, each day once and in order. */
  learn (day: string, lines: Iterable<LedgerLine>): void {
    const hours = new Float64Array(HOURS_PER_DAY)
    for (const line of lines) {
      const part = this.#partOf(line)
      for (let hour = 0; hour < HOURS_PER_DAY; hour++) {
        const cost = signOf(line.id) * costInHour(line, hour)
        hours[hour]! += cost
        part.past += cost
      }
    }
    this.forecaster.profile.learn(day, hours)
    if (this.budget.period === 'month') this.#addToMonth(day, hours.reduce((sum, cost) => sum + cost, 0))
  }

  /** Sets what has been spent today; what this instance added since the last time is among it. */
  setToday (day: string, lines: Iterable<LedgerLine>): void {
    if (day !== this.#today) this.#beginDay(day)
    for (const { hours } of this.#parts.values()) hours.fill(0)
    this.#spentToday = 0
    this.#spentSince = 0
    for (const line of lines) {
      const part = this.#partOf(line)
      for (let hour = 0; hour < HOURS_PER_DAY; hour++) {
        const cost = signOf(line.id) * costInHour(line, hour)
        part.hours[hour]! += cost
        this.#spentToday += cost
      }
    }
  }

  /** Works the forecast out anew; whether it is certain enough to be told. */
  evaluate (at: EpochMillis): boolean {
    const { limit, period } = this.budget
    if (this.#today === '') this.#beginDay(dayOf(at))
    this.forecaster.observe(at, this.#spentToday + this.#spentSince)
    const spanned = { left: limit - this.#spentBefore, lastDay: lastDayOf(this.#today, period) }
    const forecast = this.forecaster.forecast(at, spanned)
    const ahead = period === 'day' ? this.forecaster.daysAhead(this.#today, limit) : undefined
    this.#newest = { total: forecast.total, passesAt: forecast.passesAt ?? ahead }
    const isClear = ahead !== undefined || this.#spentBefore + forecast.total > limit * (1 + FORECAST_MARGIN)
    return this.forecaster.isCertain(at, isClear ? this.#newest.passesAt : undefined)
  }

  toForecast (at: EpochMillis): BudgetForecast {
    const { total, passesAt } = this.#newest
    const forecast = microUnits(this.#spentBefore + total)
    return { budget: this.budget, spent: this.spent, forecast, passesAt, driver: this.#driver(at) }
  }

  /** The class and stage whose spend of the last two hours most exceeds its usual part of the whole. */
  #driver (at: EpochMillis): Driver | undefined {
    const hour = hourOf(at)
    const recent = ({ hours }: Part): number => hours[hour]! + (hour > 0 ? hours[hour - 1]! : 0)
    const parts = [...this.#parts.values()]
    const past = parts.reduce((sum, part) => sum + part.past, 0)
    const usual = this.forecaster.profile.usual(this.#today)
    const expected = usual[hour]! + (hour > 0 ? usual[hour - 1]! : 0)
    const excess = (part: Part): number => recent(part) - (past === 0 ? 0 : expected * part.past / past)
    return parts.sort((left, right) => excess(right) - excess(left))[0]?.driver
  }

  #beginDay (day: string): void {
    const isNewPeriod = this.budget.period === 'day' || monthOf(day) !== monthOf(this.#today)
    if (isNewPeriod) this.told = 'nothing'
    if (this.#today !== '' && monthOf(day) !== monthOf(this.#today)) this.#spentBefore = 0
    this.#today = day
  }

  #addToMonth (day: string, spent: number): void {
    if (this.#today === '' || monthOf(day) === monthOf(this.#today)) this.#spentBefore += spent
  }

  #partOf ({ id }: LedgerLine): Part {
    const key = `${id.class} ${id.stage}`
    const part = this.#parts.get(key) ?? {
      driver: { class: id.class, stage: id.stage }, hours: new Float64Array(HOURS_PER_DAY), past: 0
    }
    this.#parts.set(key, part)
    return part
  }
}

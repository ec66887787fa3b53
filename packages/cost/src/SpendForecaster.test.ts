import { epochMillis, MILLIS_PER_HOUR, MILLIS_PER_MINUTE } from '@papayahill/common'
import type { EpochMillis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { addDays } from './dayOf.js'
import { SpendForecaster } from './SpendForecaster.js'

const TODAY = '2027-01-18'
const HOURS_PER_DAY = 24
/** Spend of each hour of an ordinary day. */
const HOURLY = 100

const at = (hour: number): EpochMillis => epochMillis(Date.UTC(2027, 0, 18) + hour * MILLIS_PER_HOUR)

const learnt = (days: number, factor = (day: number): number => { void day; return 1 }): SpendForecaster => {
  const forecaster = new SpendForecaster()
  for (let day = days; day >= 1; day--) {
    forecaster.profile.learn(addDays(TODAY, -day), Array.from({ length: HOURS_PER_DAY }, () => HOURLY * factor(day)))
  }
  return forecaster
}

/** Observes spend at `factor` times the usual from midnight on. */
const spend = (forecaster: SpendForecaster, hours: number, factor: number): void => {
  for (let minute = 0; minute <= hours * 60; minute++) {
    forecaster.observe(epochMillis(at(0) + minute * MILLIS_PER_MINUTE), HOURLY * factor * minute / 60)
  }
}

describe('SpendForecaster', () => {
  it('expects an ordinary day where the day began as usual', () => {
    const forecaster = learnt(14)
    spend(forecaster, 8, 1)
    const { total, passesAt } = forecaster.forecast(at(8), { left: 3000, lastDay: TODAY })
    expect(Math.abs(total - 2400)).toBeLessThan(60)
    expect(passesAt).toBeUndefined()
  })

  it('says when a budget will be passed at the rate of the last while', () => {
    const forecaster = learnt(14)
    spend(forecaster, 8, 3)
    const { passesAt } = forecaster.forecast(at(8), { left: 3600, lastDay: TODAY })
    expect(Math.abs(passesAt! - at(12.9))).toBeLessThan(MILLIS_PER_HOUR)
  })

  it('looks to the end of the month for a month', () => {
    const { passesAt } = learnt(14).forecast(at(0), { left: 5 * 2400, lastDay: '2027-01-31' })
    expect(passesAt).toBeGreaterThan(at(4 * HOURS_PER_DAY))
    expect(passesAt).toBeLessThanOrEqual(at(6 * HOURS_PER_DAY))
  })

  it('sees days ahead that steady growth passes a daily budget', () => {
    const growing = learnt(14, (day) => 1.3 ** (-day / 7))
    expect(growing.daysAhead(TODAY, 2500)).toBeDefined()
    expect(learnt(14).daysAhead(TODAY, 2500)).toBeUndefined()
  })

  it('without history looks no further than two hours', () => {
    const forecaster = new SpendForecaster()
    spend(forecaster, 2, 1)
    expect(forecaster.forecast(at(2), { left: 1000, lastDay: TODAY }).passesAt).toBeUndefined()
    expect(forecaster.forecast(at(2), { left: 300, lastDay: TODAY }).passesAt).toBeDefined()
  })

  it('is certain only of what lasts or is near', () => {
    const forecaster = learnt(14)
    const far = at(20)
    expect(forecaster.isCertain(at(8), far)).toBe(false)
    expect(forecaster.isCertain(at(8.6), far)).toBe(true)
    expect(forecaster.isCertain(at(8.7), undefined)).toBe(false)
    expect(forecaster.isCertain(at(8.8), at(9.5))).toBe(false)
    expect(forecaster.isCertain(at(8.9), at(9.5))).toBe(true)
  })
})

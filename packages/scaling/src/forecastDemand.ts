import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { BURST_DEVIATIONS, LEVEL_WINDOW, MAX_GROWTH, MIN_TREND_POINTS, TREND_CAUTION, TREND_WINDOW } from './constants.js'
import type { DemandPoint } from './types.js'

interface Trend {
  /** Change of the demand in a millisecond. */
  readonly slope: number
  /** Standard deviation of the slope. */
  readonly deviation: number
}

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)

/** The least-squares line through the points. */
const fitTrend = (points: readonly DemandPoint[]): Trend => {
  const meanAt = meanOf(points.map(({ at }) => at))
  const meanDemand = meanOf(points.map(({ demand }) => demand))
  const spread = points.reduce((sum, { at }) => sum + (at - meanAt) ** 2, 0)
  if (spread === 0) return { slope: 0, deviation: 0 }
  const slope = points.reduce((sum, { at, demand }) => sum + (at - meanAt) * (demand - meanDemand), 0) / spread
  const errors = points.reduce((sum, { at, demand }) => sum + (demand - meanDemand - slope * (at - meanAt)) ** 2, 0)
  return { slope, deviation: Math.sqrt(errors / Math.max(1, points.length - 2) / spread) }
}

/** Whether a demand is so far above the ones before that it is a burst, not a trend. */
export const isBurst = (points: readonly DemandPoint[], now: Millis, demand: number): boolean => {
  const recent = points.filter(({ at }) => now - at <= LEVEL_WINDOW).map((point) => point.demand)
  const highest = Math.max(...recent)
  return recent.length > 0 && demand > highest + BURST_DEVIATIONS * Math.sqrt(highest)
}

/** The present demand and the one after a time. */
export interface DemandForecast {
  readonly level: number
  readonly later: number
}

/**
 * Forecasts the demand by its trend. Only growth counts, and only as far as chance does not explain it: capacity that was
 * not needed costs little, and a fall is waited for. A burst, or a plan in which requests wait, begins a new series of
 * points: it is answered at once, and its step is not taken for a trend.
 *
 * @example
 * const { later } = forecastDemand(history.demands, now, bootTime)
 */
export const forecastDemand = (points: readonly DemandPoint[], now: Millis, horizon: Millis): DemandForecast => {
  const recent = points.filter(({ at }) => now - at < LEVEL_WINDOW)
  const level = meanOf(recent.map(({ demand }) => demand))
  const fitted = points.filter(({ at }) => now - at <= TREND_WINDOW)
  if (fitted.length < MIN_TREND_POINTS) return { level, later: level }
  const { slope, deviation } = fitTrend(fitted)
  const growth = Math.max(0, slope - TREND_CAUTION * deviation)
  // The mean of a growing demand lags behind it by half of the window.
  const lag = millis(LEVEL_WINDOW / 2)
  return { level, later: Math.min(level * MAX_GROWTH, level + growth * (lag + horizon)) }
}

import { millis, MILLIS_PER_HOUR, MILLIS_PER_MINUTE, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Millis } from '@papayahill/common'

const MILLIS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: MILLIS_PER_SECOND,
  min: MILLIS_PER_MINUTE,
  h: MILLIS_PER_HOUR
}

const DURATION = /^(\d+(?:\.\d+)?)(ms|s|min|h)$/

/**
 * Parses a duration such as `800ms`, `1.5s`, `5min` or `1h`; undefined if the text is invalid.
 *
 * @example
 * parseDuration('8s') // 8000 ms
 */
export const parseDuration = (text: string): Millis | undefined => {
  const [, amount, unit] = DURATION.exec(text) ?? []
  if (amount === undefined || unit === undefined) return undefined
  return millis(Number(amount) * MILLIS_PER_UNIT[unit]!)
}

/**
 * Formats a duration so that {@link parseDuration} returns the same value.
 *
 * @example
 * formatDuration(millis(8000)) // '8s'
 */
export const formatDuration = (duration: Millis): string =>
  duration !== 0 && duration % MILLIS_PER_SECOND === 0 ? `${duration / MILLIS_PER_SECOND}s` : `${duration}ms`

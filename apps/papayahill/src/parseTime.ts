import { parseDuration } from '@papayahill/settings'

/**
 * Parses a duration from now or an absolute time; undefined if the text is neither.
 *
 * @example
 * parseTime('30min', Date.UTC(2027, 0, 4))
 */
export const parseTime = (text: string, now: number): number | undefined => {
  const span = parseDuration(text)
  if (span !== undefined) return Math.round(now + span)
  const time = Date.parse(text)
  return Number.isNaN(time) ? undefined : time
}

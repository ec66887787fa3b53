import { MILLIS_PER_SECOND, millis, seconds } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { AnswerHeaders } from './headers.js'

/** Longest time that is taken at its face value; what asks for more gets this. */
const MAX_RETRY_AFTER = seconds(600)
/** Digits with at most one point, as in `2` or `0.25`. */
const PLAIN_NUMBER = /^\d+(\.\d+)?$/

/** The time after which a server wants to be asked again, or its text where that gives none. */
export type RetryAfter = { readonly kind: 'span', readonly span: Millis } | { readonly kind: 'malformed', readonly text: string }

/**
 * Reads `retry-after` in seconds, fractions too; the longest where it is repeated. Undefined without the header.
 *
 * @example
 * retryAfterOf({ 'retry-after': '0.5' }) // { kind: 'span', span: 500 }
 */
export const retryAfterOf = (headers: AnswerHeaders): RetryAfter | undefined => {
  const value = headers['retry-after']
  if (value === undefined) return undefined
  const texts = (Array.isArray(value) ? value : value.split(',')).map((text) => text.trim())
  const spans = texts.filter((text) => PLAIN_NUMBER.test(text)).map((text) => Number(text) * MILLIS_PER_SECOND)
  if (spans.length === 0) return { kind: 'malformed', text: texts.join(',') }
  return { kind: 'span', span: millis(Math.min(MAX_RETRY_AFTER, Math.max(...spans))) }
}

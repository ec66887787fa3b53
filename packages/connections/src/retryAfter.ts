import { MILLIS_PER_SECOND, millis, seconds } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { AnswerHeaders } from './headers.js'

/** Upper limit; longer times are reduced to it. */
const MAX_RETRY_AFTER = seconds(600)
/** Digits with an optional fraction, as in `2` or `0.25`. */
const PLAIN_NUMBER = /^\d+(\.\d+)?$/

/** Time after which a request may be retried, or the text of the header if it contains no valid time. */
export type RetryAfter = { readonly kind: 'span', readonly span: Millis } | { readonly kind: 'malformed', readonly text: string }

/**
 * Parses `retry-after` in seconds, with fractions; the longest time if it is repeated. Undefined without the header.
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

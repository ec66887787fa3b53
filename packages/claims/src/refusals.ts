import { failure, refusal } from '@papayahill/common'
import type { Failure } from '@papayahill/common'
import { isSettled } from './claimRecord.js'
import type { ClaimRecord } from './claimRecord.js'
import { LONG_RETRY_AFTER, SHORT_RETRY_AFTER } from './constants.js'
import type { ClaimRequest } from './types.js'

/** A request without an idempotency key is keyed by its own id, so no earlier attempt can exist. */
export const isKeyless = (request: ClaimRequest): boolean => String(request.key) === String(request.request)

const NOT_SENT = 'this attempt was not sent; the same key may be tried again safely'

/** The store gave no answer, so earlier attempts under the key are unknown. */
export const storeUnreachable = (request: ClaimRequest): Failure => isKeyless(request)
  ? refusal('store-unavailable', 'the store is unreachable; nothing was sent', { retryAfter: LONG_RETRY_AFTER })
  : failure('store-unavailable', `the store is unreachable; ${NOT_SENT}`, 'unknown', { retryAfter: LONG_RETRY_AFTER })

/** Another attempt under the key won the race. */
export const lostRace = (): Failure =>
  failure('outcome-unknown', `this conflicts with another attempt under this key; ${NOT_SENT}`, 'unknown', { retryAfter: SHORT_RETRY_AFTER })

export const justPaused = (): Failure =>
  failure('not-ready', `this instance was paused for a while; ${NOT_SENT}`, 'unknown', { retryAfter: SHORT_RETRY_AFTER })

export const stillRunning = (): Failure =>
  failure('outcome-unknown', `an earlier attempt under this key is still running; ${NOT_SENT}`, 'unknown', { retryAfter: SHORT_RETRY_AFTER })

export const ownerUnreachable = (record: ClaimRecord): Failure => failure(
  'outcome-unknown',
  `instance ${record.owner}, which runs this key, cannot be reached now; ${NOT_SENT}`,
  'unknown',
  { retryAfter: LONG_RETRY_AFTER }
)

export const runUnknown = (record: ClaimRecord): Failure => failure(
  'outcome-unknown',
  `it is unknown whether this ran; it will not be run again. Ask the operator, naming workspace ${record.workspace}, service ${record.service}`,
  'unknown',
  { retryAfter: LONG_RETRY_AFTER }
)

/** The run status is that of the key: the request that ran under it had another body. */
export const keyReused = (record: ClaimRecord): Failure =>
  failure('key-reused', 'the key was used with another body; use a new key for a new request', isSettled(record) ? 'ran' : 'unknown')

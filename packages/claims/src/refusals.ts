import { failure, refusal } from '@papayahill/common'
import type { Failure } from '@papayahill/common'
import { isSettled } from './claimRecord.js'
import type { ClaimRecord } from './claimRecord.js'
import { RETRY_LATER, RETRY_SOON } from './constants.js'
import type { ClaimRequest } from './types.js'

/** A request without a key of its own is its own key: nobody can have tried it before. */
export const isKeyless = (request: ClaimRequest): boolean => String(request.key) === String(request.request)

const NOT_SENT = 'this attempt was not sent; the same key may be tried again safely'

/** The store gave no answer, so that nothing is known of earlier attempts under the key. */
export const storeUnreachable = (request: ClaimRequest): Failure => isKeyless(request)
  ? refusal('store-unavailable', 'the store is unreachable; nothing was sent', { retryAfter: RETRY_LATER })
  : failure('store-unavailable', `the store is unreachable; ${NOT_SENT}`, 'unknown', { retryAfter: RETRY_LATER })

/** Another attempt under the key came in between. */
export const raced = (): Failure =>
  failure('outcome-unknown', `another attempt under this key came in between; ${NOT_SENT}`, 'unknown', { retryAfter: RETRY_SOON })

export const justPaused = (): Failure =>
  failure('not-ready', `this instance stood still for a while; ${NOT_SENT}`, 'unknown', { retryAfter: RETRY_SOON })

export const stillRunning = (): Failure =>
  failure('outcome-unknown', `an earlier attempt under this key still runs; ${NOT_SENT}`, 'unknown', { retryAfter: RETRY_SOON })

export const ownerUnreachable = (record: ClaimRecord): Failure => failure(
  'outcome-unknown',
  `instance ${record.owner}, which runs this key, cannot be reached now; ${NOT_SENT}`,
  'unknown',
  { retryAfter: RETRY_LATER }
)

export const runUnknown = (record: ClaimRecord): Failure => failure(
  'outcome-unknown',
  `whether this ran is not known; it is not run again. Ask for workspace ${record.workspace}, service ${record.service}`,
  'unknown',
  { retryAfter: RETRY_LATER }
)

/** The words speak of the key: what ran under it ran with another body. */
export const keyReused = (record: ClaimRecord): Failure =>
  failure('key-reused', 'the key was used with another body; take a new key for a new request', isSettled(record) ? 'ran' : 'unknown')

import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { FIRST_PLACEMENT_TIMEOUT, MAX_RETRY_AFTER, MIN_RETRY_AFTER } from './constants.js'
import type { FailureCause } from './types.js'

/** Forecast times of a request at admission. */
export interface Forecast {
  readonly timeLeft: Millis
  /** Time until the request has its turn at its service. */
  readonly queueWait: Millis
  /** Queueing time at the least busy endpoint of each stage, summed along the longest chain. */
  readonly stageWaits: Millis
  /** Run time of the stages without queueing. */
  readonly stageTime: Millis
  /** Time until an endpoint for the final call is available; zero if one is. */
  readonly timeUntilAvailable: Millis
  /** Requests per second that this instance may send on average if all endpoints for the final call have limits; Infinity otherwise. */
  readonly tokensPerSecond: number
  /** Admitted requests that wait for their final call. */
  readonly unsent: number
  /** Time from the final call to the start of its answer. */
  readonly answerTime: Millis
}

export type Admission =
  | { readonly kind: 'admitted', readonly forecast: Millis }
  | { readonly kind: 'refused', readonly forecast: Millis, readonly retryAfter: Millis, readonly cause?: FailureCause | undefined }

/** Upper bound of the Retry-After as a share of the time until the deadline. */
const RETRY_AFTER_SHARE = 0.3
/** Requests may wait for this many times the tokens that an instance has on average, since others may need fewer. */
const UNSENT_FACTOR = 1.5

/**
 * Refuses a request that cannot be answered in time before any work is done for it. This guards against overload, when
 * the stages have more pieces queued than they can run within the callers' deadlines.
 *
 * @example
 * admit({ timeLeft, queueWait, stageWaits, stageTime, timeUntilAvailable, tokensPerSecond, unsent, answerTime })
 */
export const admit = ({
  timeLeft, queueWait, stageWaits, stageTime, timeUntilAvailable, tokensPerSecond, unsent, answerTime
}: Forecast): Admission => {
  const stagesDone = queueWait + stageWaits + stageTime
  const forecast = millis(Math.max(stagesDone, timeUntilAvailable) + answerTime)
  const tokens = tokensPerSecond * (stagesDone + FIRST_PLACEMENT_TIMEOUT) / MILLIS_PER_SECOND
  const hasToken = unsent < Math.max(1, tokens * UNSENT_FACTOR)
  const isAvailableInTime = timeUntilAvailable <= stagesDone + FIRST_PLACEMENT_TIMEOUT && hasToken
  if (isAvailableInTime && forecast <= timeLeft) return { kind: 'admitted', forecast }
  const cause = tokensPerSecond === Infinity ? undefined : 'limit'
  if (!isAvailableInTime) return { kind: 'refused', forecast, retryAfter: timeUntilAvailable, cause }
  const excess = forecast - timeLeft
  const maxRetryAfter = Math.min(MAX_RETRY_AFTER, timeLeft * RETRY_AFTER_SHARE)
  const retryAfter = millis(Math.min(maxRetryAfter, Math.max(MIN_RETRY_AFTER, excess)))
  return { kind: 'refused', forecast, retryAfter }
}

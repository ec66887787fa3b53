import { millis, seconds } from '@papayahill/common'

/**
 * Number of shares of a limit: this many per request per second, and this many besides. With the burst of each share and the
 * bounds below they stay within one and a half times the limit plus five requests in any four seconds.
 */
export const SHARES_PER_RATE = 0.4
export const BASE_SHARES = 2.6
/** Requests that a share may send at once after it was not used, or as many as it earns in the span, whichever is more. */
export const MIN_BURST = 1.5
export const BURST_SPAN = millis(100)
/**
 * Weight of the first share; the others weigh less, so that the sum is their number. With two equal shares of a low limit that
 * happen to be in step, its end could go unnoticed for as long as two requests take.
 */
export const FIRST_SHARE_WEIGHT = 1.25
/** Factor by which reachable holders may raise their shares for those that are not reachable. */
export const MAX_SHARE_FACTOR = 1.25
/** Time after asking in which a borrowed token must be used. */
export const BORROWED_TTL = millis(300)
/** Longest wait for a holder's answer. */
export const ASK_TIMEOUT = millis(250)
/** Time for which a holder that did not answer is not asked again. */
export const NO_ANSWER_BACKOFF = seconds(1)
/** Bounds of the time for which a holder that lent nothing is not asked again. */
export const MIN_ASK_BACKOFF = millis(250)
export const MAX_ASK_BACKOFF = seconds(30)
/** Time after which holders and their reachability are determined again. */
export const HOLDERS_TTL = seconds(1)
/** Time for which an instance counts after it was last seen: it may be alive behind a cut. */
export const SILENT_INSTANCE_TTL = seconds(600)
/** Time for which a listed instance counts that was never seen. */
export const UNSEEN_INSTANCE_TTL = seconds(60)
/** Span over which instances that were denied ask again, as a share of the time in which there is a token for each of them. */
export const ASK_SPREAD = 0.5
/** Least time between two questions of this instance on average, and how many it may send at once. */
export const ASK_INTERVAL = millis(100)
export const ASK_BURST = 5
/** Period at which pauses of this process are detected, and the shortest delay that counts as one. */
export const PAUSE_CHECK_PERIOD = millis(200)
export const MIN_PAUSE = millis(1000)
/** Upper bound of the time after which refused callers are asked to return. */
export const MAX_RETURN_TIME = seconds(10)

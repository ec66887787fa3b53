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
/** Weight of the newest call in the usual time of a call, and the time assumed before there is one. */
export const CALL_TIME_WEIGHT = 0.1
export const DEFAULT_CALL_TIME = millis(250)
/** Longest time for which a call that ended without an answer counts as still running at its endpoint. */
export const MAX_UNCERTAIN_TIME = seconds(1)
/** Age up to which a report of waiting requests keeps further ones away. */
export const MAX_REPORT_AGE = millis(500)
/** Bounds of the time after a rejection in which a brittle endpoint gets no more calls than it let in. */
export const MIN_REJECTION_PAUSE = millis(1250)
export const MAX_REJECTION_PAUSE = seconds(10)
/** Bounds of the time for which a place is lent, and how many usual calls must fit in. */
export const MIN_LEASE = seconds(5)
export const MAX_LEASE = seconds(30)
export const LEASE_CALLS = 4
/** Longest time for which a lender keeps a request for a place, how many it keeps, and how long the borrower waits. */
export const LEND_WAIT = millis(250)
export const MAX_ASKERS = 16
export const PLACE_ASK_TIMEOUT = millis(400)
/** Time after which a borrowed place that is not used goes back. */
export const IDLE_PLACE_TTL = millis(10)
/** A call begins on a borrowed place only if this many usual calls still fit into the lease. */
export const LEASE_MARGIN_CALLS = 2
/** Bounds of the time for which an instance that lent no place is not asked again. */
export const MIN_PLACE_BACKOFF = millis(250)
export const MAX_PLACE_BACKOFF = millis(1500)
/**
 * Least time after which an instance without a place sends a call to learn whether the endpoint is still brittle, and the
 * least in the times that all instances need for one rejection each.
 */
export const MIN_CONFIRM_PERIOD = seconds(30)
export const CONFIRM_INTERVALS = 4

import { MILLIS_PER_DAY, MILLIS_PER_MINUTE, millis, seconds } from '@papayahill/common'

/** Time from the start of the claim's write within which the request may be handed over. */
export const DISPATCH_LEASE = seconds(5)
/** Longest time between two looks at the clock that does not count as a pause of the process. */
export const PAUSE_LIMIT = millis(250)
export const PAUSE_TICK = millis(100)
/** How long after a pause no request is claimed. */
export const PAUSE_QUIET = millis(500)
/** A release that takes the store longer is not reported as "not run". */
export const RELEASE_LIMIT = millis(250)
/** Most by which the calendars of two instances may differ for "not run" to stay true through races. */
export const MAX_CALENDAR_SKEW = millis(500)
/** Requests whose arrival is remembered until they begin, at most. */
export const MAX_ARRIVALS = 8192
/** Age of a claim from which "not run", by look-up or by an operator, is taken as final. */
export const NOT_RUN_FINAL_AFTER = millis(2 * MILLIS_PER_MINUTE)
/** How long outcomes are kept; a key that is used again later may run again. */
export const CLAIM_RETENTION = millis(MILLIS_PER_DAY)
/** Tries to settle one claim before the caller is told to come back. */
export const MAX_CLAIM_TRIES = 6
/** How long writes are gathered into one transaction, and how many at most. */
export const GATHER_WINDOW = millis(2)
export const MAX_BATCH = 48
/** Rows in one read at most. */
export const MAX_READ = 128
/** Transactions under way at once. */
export const MAX_COMMITS = 2
/** Longest wait at an owner for its outcome, for a caller at another instance. */
export const MAX_JOIN_WAIT = seconds(30)
/** Added to the wait for the way to the owner and back. */
export const JOIN_MARGIN = millis(250)
export const ASK_TIMEOUT = millis(300)
/** Callers that wait for one key at once. */
export const MAX_WAITERS = 64
/** Wait for the store before peers are asked to hold an outcome as well. */
export const HOLD_AFTER = millis(150)
/** Pause before peers are asked again, where too few could hold it. */
export const HOLD_AGAIN = millis(500)
/** Peers that hold an outcome until it is written. */
export const HOLDERS = 2
/** Peers asked at most whether they hold an outcome. */
export const MAX_ASKED_PEERS = 16
/** Longest wait for the word that a claim was marked as unknown, and for outcomes in a drain. */
export const FINISH_WAIT = seconds(1)
/** Outcomes that one instance holds for others at most. */
export const MAX_HELD = 4096
/** Bounds of the wait between two tries to write what is pending. */
export const MIN_RETRY = millis(100)
export const MAX_RETRY = seconds(2)
/** When a caller is told to come back. */
export const RETRY_SOON = millis(500)
export const RETRY_LATER = seconds(2)
/** How often old claims are looked for, and how much one pass reads at most. */
export const PRUNE_PERIOD = millis(MILLIS_PER_MINUTE)
export const PRUNE_PAGE = 16
export const PRUNE_PAGES = 8
/** Unknown claims that operators are shown at once. */
export const MAX_LISTED = 500
/** Ended lives whose open claims are listed with them. */
export const MAX_LIVES_LISTED = 16

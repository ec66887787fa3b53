import { millis, seconds } from '@papayahill/common'

/** Default time for which a holder may act after the start of its last successful write. */
export const LEASE_TIME = seconds(3)
/** Share of the lease time by which the steady clocks of two machines may differ over it. */
export const MAX_CLOCK_DRIFT = 0.1
/** Longest time that bytes are on their way after the sender has written the last one. */
export const TRANSIT_TIME = millis(200)
/** Share of the lease time after which the holder renews; one failed try leaves time for several more. */
export const RENEWAL_SHARE = 0.5
/** Time between two tries of a holder to renew, and of a candidate whose write had no answer. */
export const RETRY_PERIOD = millis(300)
/** Time after which a store call counts as unanswered, for tables that have no timeout of their own. */
export const STORE_TIMEOUT = seconds(2)
/**
 * Delay of each later candidate after the one before it. A read and a write take tens of milliseconds; at 200 ms all
 * instances together make about five tries a second while the store is away, whatever their number.
 */
export const RANK_DELAY = millis(200)
/** Shortest time after which a candidate that failed to reach the store tries again. */
export const MIN_BACKOFF = seconds(1)
/** Time after the start in which an instance is no candidate, since it knows too few members to find its rank. */
export const START_WAIT = seconds(1)
/** Longest time between two checks of a candidate, so that its rank follows the members. */
export const CHECK_PERIOD = seconds(1)
/** An instance whose link was silent for this many heartbeats is no candidate. */
export const MAX_SILENT_HEARTBEATS = 2.6
/** Candidates come first if they have at least this share of the largest instance's capacity, where enough instances do. */
export const MIN_CANDIDATE_CAPACITY = 0.5
/** Minimum number of such instances; with fewer, all candidates are ranked alike. */
export const MIN_CANDIDATES = 4
/**
 * Candidates that are told of the lease directly, because gossip among 420 instances takes up to a second, and one renewal in
 * five misses an instance. With four, candidates 4 to 12 read the store up to four times in 30 s while the holder was alive.
 */
export const TOLD_CANDIDATES = 8
/** Tokens of one era; each restore of the store from an older copy continues at the next multiple. */
export const TOKENS_PER_ERA = 2 ** 20
/** A record with a longer wait is not accepted, so that no malformed one keeps the duties from all. */
export const MAX_WAIT = seconds(600)
/** Tries to write the release before the others are left to wait for the end of the lease. */
export const MAX_RELEASE_TRIES = 3
/** Key of the lease's row, and of the published lease state. */
export const LEASE_KEY = 'lease'
/** Period of comparing the boot-time clock with the steady clock, and the difference above which they do not agree. */
export const UPTIME_CHECK_PERIOD = millis(500)
export const MAX_UPTIME_DIFFERENCE = millis(40)
/** Checks without agreement after which the boot-time clock is not used. */
export const MAX_UPTIME_MISMATCHES = 3

import { millis } from '@papayahill/common'

/** Weight of the newest call in the moving mean of call times. */
export const SAMPLE_WEIGHT = 0.1
/** Call time assumed for a stage that nothing is known of. */
export const FIRST_GUESS = millis(50)

/** Time constant of arrival rates and of the workspaces' shares of them. */
export const RATE_WINDOW = millis(3000)
/** Room kept for the arrivals of tighter classes, over their mean rate. */
export const RESERVE_MARGIN = 1
/** Share of a service that even the loosest class counts on. */
export const MIN_USABLE_SHARE = 0.05

/** Slots counted on at a service that others keep busy and where this instance owns none. */
export const BORROWED_SLOTS = 0.5

/** Share of its slack that a class may be forecast to wait, where its workspace has had its fair share. */
export const WAIT_SHARE = 0.4
/** The same where the workspace has had less than its fair share. */
export const WAIT_SHARE_UNDER_FAIR = 0.7

/** Share of its slack that any class may be forecast to wait at most. */
export const MAX_WAIT_SHARE = 0.8
/** Wait that is granted beyond that share: forecasts are no finer than a few calls. */
export const WAIT_GRACE = millis(30)

export const MIN_RETRY_AFTER = millis(500)
export const MAX_RETRY_AFTER = millis(30_000)
/** Retry-After varies by this share, so that callers do not come back together. */
export const RETRY_AFTER_SPREAD = 0.3

/** Retries allowed for each call that succeeded. */
export const RETRY_RATIO = 0.1
/** Retries that an idle budget holds at most. */
export const RETRY_BURST = 10
/** Retries that a new budget holds. */
export const RETRY_FIRST = 1
/** Load of a service from which nothing is retried into it. */
export const RETRY_MAX_LOAD = 1

/** Weight of the newest request in a class's attained share. */
export const STANDING_WEIGHT = 0.02
/** Gap to the target at which a class's gain is whole. */
export const FULL_GAP = 0.05
/** Largest gain of a class in the queue: the same for all, so that none gains on another that is as far behind. */
export const MAX_GAIN = millis(200)
/** Largest yield of a class, as a share of the time that its target allows. */
export const YIELD_SHARE = 0.25

/** Calls of those that found no slot that are offered again when one may have come free. */
export const PROBES = 3
/** Queues that wait for a slot look again after this time at the latest. */
export const WAKE_PERIOD = millis(25)
/** Share of a call's mean time below which it cannot be hoped to end in time. */
export const HOPE_SHARE = 1

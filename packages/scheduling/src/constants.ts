import { millis } from '@papayahill/common'

/** Weight of the newest call in the moving mean of call times. */
export const SAMPLE_WEIGHT = 0.1
/** Call time assumed for a stage without any sample. */
export const DEFAULT_CALL_TIME = millis(50)

/** Time constant of the decaying arrival counts, per class and per workspace. */
export const RATE_WINDOW = millis(3000)
/** Capacity reserved for the arrivals of tighter classes, as a multiple of their mean rate. */
export const RESERVE_MARGIN = 1
/** Share of a service's slots that admission counts on even for the loosest class. */
export const MIN_USABLE_SHARE = 0.05

/** Slots that admission counts on at a busy service of which this instance owns no slot. */
export const UNOWNED_SERVICE_SLOTS = 0.5

/** Share of its slack that a request may be forecast to wait if its workspace has had its fair share. */
export const WAIT_SHARE = 0.4
/** The same if the workspace has had less than its fair share. */
export const WAIT_SHARE_UNDER_FAIR = 0.7

/** Upper bound of the forecast wait of any request, as a share of its slack. */
export const MAX_WAIT_SHARE = 0.8
/** Wait allowed in addition to that share, because forecasts are only accurate to a few calls. */
export const WAIT_GRACE = millis(30)

export const MIN_RETRY_AFTER = millis(500)
export const MAX_RETRY_AFTER = millis(30_000)
/** Random spread of the Retry-After, so that callers do not retry at the same time. */
export const RETRY_AFTER_SPREAD = 0.3

/** Retries allowed per successful call. */
export const RETRY_RATIO = 0.1
/** Maximum number of retries that a budget can accumulate. */
export const RETRY_BURST = 10
/** Retries in a new budget. */
export const INITIAL_RETRIES = 1
/** Load of a service at which calls to it are no longer retried. */
export const RETRY_MAX_LOAD = 1

/** Weight of the newest request in the attainment of its class. */
export const ATTAINMENT_WEIGHT = 0.02
/** Distance to the target attainment at which a class gets its full boost or penalty. */
export const FULL_BOOST_GAP = 0.05
/** Largest boost of a class in the queue; equal for all classes, so that none overtakes another that is as far behind. */
export const MAX_BOOST = millis(200)
/** Largest penalty of a class, as a share of the time that its target allows. */
export const MAX_PENALTY_SHARE = 0.25

/** Parked calls with the same eligible endpoints that are requeued when a slot may have become free. */
export const REQUEUED_CALLS = 3
/** Interval at which queues check for free slots, in addition to notifications. */
export const WAKE_PERIOD = millis(25)
/** A call is not started with less than this share of its mean time left. */
export const MIN_CALL_TIME_SHARE = 1

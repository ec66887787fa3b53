import { millis, seconds } from '@papayahill/common'

/** Longest time that a watch waits for a change before it asks anew; a silent connection shows after it. */
export const WATCH_WAIT = seconds(3)
/** Least time between two looks of a watch, so that busy tables cost few calls. */
export const WATCH_PACE = millis(250)
/** Bounds of the wait before a failed look is repeated. */
export const MIN_WATCH_RETRY = millis(100)
export const MAX_WATCH_RETRY = millis(800)
/** An outage this long may have let entries of living endpoints lapse. */
export const LAPSE_OUTAGE = seconds(1)
/** Time that endpoints have to enter themselves again once the store is back. */
export const LAPSE_GRACE = seconds(2)
/** Bounds of the time for which an endpoint with broken connections is avoided. */
export const MIN_SUSPICION = millis(400)
export const MAX_SUSPICION = seconds(4)
/** Weight of the newest outcome in an endpoint's share of failures. */
export const FAILURE_WEIGHT = 0.15
/** From this share of failures above that of its fellows on an endpoint is avoided. */
export const FAILURE_MARGIN = 0.25

import { millis, seconds } from '@papayahill/common'

/** Longest time that a watch waits for a change before it asks anew; a silent connection shows after it. */
export const WATCH_WAIT = seconds(3)
/** Least time between two looks of a watch, so that busy tables cost few calls. */
export const WATCH_PACE = millis(250)
/** Bounds of the wait before a failed look is repeated, and the upper one where others follow the table as well. */
export const MIN_WATCH_RETRY = millis(100)
export const MAX_WATCH_RETRY = millis(800)
export const MAX_SHARED_RETRY = seconds(3)
/** Instances that follow one table in the store; a loss of two at once leaves one. */
export const WATCHERS = 3
/** How often a watcher publishes its status. */
export const STATUS_PERIOD = millis(500)
/** Age of the newest status from which on an instance looks itself; an endpoint that leaves must be known sooner than that twice over. */
export const STATUS_LIMIT = millis(1100)
/** Age of the store's last answer from which on an instance looks itself: a watcher's connection may be silent. */
export const ANSWER_LIMIT = millis(4200)
/** Looks of many instances that lack a status are spread over this time, so that the first one's spares the others'. */
export const LOOK_SPREAD = millis(600)
/** Time after the start before an instance follows a table for others: until then it may know only few of them. */
export const ROLE_DELAY = millis(2500)
/** How often an instance looks whether it is a watcher. */
export const ROLE_PERIOD = millis(500)
/** A status is passed on where it is newer than the one known by this much. */
export const STATUS_GAIN = millis(200)
/** Statuses and changes that come together are passed on together. */
export const RELAY_DELAY = millis(15)
/** Changes up to this size are sent to all neighbours; larger ones are fetched by those that lack them. */
export const MAX_PUSHED_CHARACTERS = 4000
/** Time in which a neighbour answers what rows have changed. */
export const FETCH_TIMEOUT = millis(500)
/** Changed rows that are kept for neighbours. */
export const RECENT_ROWS = 400
/** An outage this long may have let entries of living endpoints lapse. */
export const LAPSE_OUTAGE = seconds(1)
/** Time that endpoints have to enter themselves again once the store is back. */
export const LAPSE_GRACE = seconds(2)
/** Bounds of the time for which an endpoint with broken connections is avoided. */
export const MIN_SUSPICION = millis(400)
export const MAX_SUSPICION = seconds(4)
/** Endpoints whose announced leaving is remembered. */
export const MAX_REMEMBERED_LIVES = 2000
/** Weight of the newest outcome in an endpoint's share of failures. */
export const FAILURE_WEIGHT = 0.15
/** From this share of failures above that of its fellows on an endpoint is avoided. */
export const FAILURE_MARGIN = 0.25

import { millis, seconds } from '@papayahill/common'

/**
 * Time constant of an endpoint's speed. A change is followed to within 5% after three of these, which is within the 2 s
 * in which the choice of endpoints must have settled.
 */
export const SPEED_TIME_CONSTANT = millis(500)
/**
 * Calls that the newest one is weighed against, however long ago they were. With fewer, one slow call at an endpoint with
 * few calls would decide.
 */
export const MIN_SPEED_WEIGHT = 2
/** Bounds of the deviation, as a logarithm, beyond which a call counts as an outlier, and its multiple of the usual deviation. */
export const MIN_OUTLIER = 0.35
export const MAX_OUTLIER = 0.9
export const OUTLIER_DEVIATIONS = 3
/**
 * Outliers in a row, in calls that do not overlap, that show a change. One may have any cause, and calls that overlap may share
 * one, such as a pause; more than two would take too long at endpoints with few calls.
 */
export const OUTLIERS_OF_CHANGE = 2
/** A call's time counts as at most this multiple, and at least this part, of the expected time. */
export const MAX_TIME_RATIO = 8
/** Weight of the newest call in the usual deviation, and the deviation assumed before there is a call. */
export const DEVIATION_WEIGHT = 0.1
export const INITIAL_DEVIATION = 0.15
/** Weight of the newest call in the usual time of a key of work. */
export const USUAL_TIME_WEIGHT = 0.02
/** Weight of the newest call in the service's mean speed, which stands for endpoints that are not known yet. */
export const MEAN_WEIGHT = 0.01
/** Half-life of what is known of an endpoint without calls: it returns to the service's mean, so that it is tried again. */
export const SPEED_HALF_LIFE = seconds(10)
/** Time constant of the shape of times over concurrency; it needs calls at several numbers of concurrent calls. */
export const SHAPE_TIME_CONSTANT = seconds(12)
/** Classes of concurrency, and candidates for the concurrency beyond which an endpoint slows down. */
export const SHAPE_BINS = 8
/** Calls between two estimates of that concurrency. */
export const CALLS_PER_SHAPE_FIT = 4
/** Twice the logarithm of the likelihood ratio from which a candidate replaces the present value; the other avoids a division by 0. */
export const SHAPE_FIT_MARGIN = 6
export const MIN_SHAPE_ERROR = 1e-3
/** Span over which a reported slowdown fades: a spell of slowness lasts about this long, and it may end at any time. */
export const SLOWDOWN_PERIOD = millis(600)
/** Time constant of the mean of the reported slowdowns, to which a report fades; several spells of slowness apart. */
export const SLOWDOWN_MEAN_TIME_CONSTANT = seconds(10)
/** Bounds of a reported slowdown that is believed. */
export const MIN_SLOWDOWN = 0.1
export const MAX_SLOWDOWN = 20
/** Calls beyond the slots up to which a call still shows the speed: estimates of the load are not exact. */
export const QUEUE_MARGIN = 0.5
/** Weight of the last report from which a call's wait for a slot is estimated well enough. */
export const MIN_LOAD_CERTAINTY = 0.5
/** Age at which the reported load counts half; the rest is the endpoint's mean load. */
export const LOAD_HALF_LIFE = millis(150)
/** Time constant of an endpoint's mean load. */
export const LOAD_TIME_CONSTANT = seconds(2)
/** Weight of the use of an endpoint against a call's own expected time, in the choice of an endpoint. */
export const USE_WEIGHT = 10
/** Multiples of the service's mean time from which an endpoint counts as slow, and below which it has recovered. */
export const SLOW_FACTOR = 1.5
export const RECOVERED_FACTOR = 1.25
/** Calls that must have been observed before an endpoint counts as slow. */
export const MIN_SLOW_CALLS = 5
/** Least time between two events of one endpoint, and most events of all endpoints in that time. */
export const EVENT_PERIOD = seconds(5)
export const MAX_EVENTS_PER_PERIOD = 10
/** Keys of work whose usual times are kept of each service. */
export const MAX_WORK_KEYS = 500

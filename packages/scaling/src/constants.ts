import { millis, seconds } from '@papayahill/common'

/** Period of plans. */
export const PLAN_PERIOD = seconds(1)
/** Age up to which an instance's sample counts as current: two reports of the largest deployment, whose period is 2.1 s. */
export const MAX_SAMPLE_AGE = seconds(5)
/** Share of the live instances that must be heard of before anything is scaled down. */
export const MIN_HEARD_SHARE = 0.9
/** Time for which they must be heard of without a break, besides the boot time. */
export const HEARD_MARGIN = seconds(3)
/** Time over which rates of requests are averaged. */
export const RATE_WINDOW = seconds(2)
/**
 * Waiting requests, as a share of the running calls, and refused ones, as a share of all, up to which endpoints do not count
 * as crowded: callers then wait for about 2% of a call, which leaves their answers in time.
 */
export const TOLERATED_SHARE = 0.02
/** Refused requests a second from which endpoints count as crowded; the means of a rate never reach 0. */
export const MIN_REFUSED_PER_SECOND = 1
/** Time over which the demand's trend is fitted. */
export const TREND_WINDOW = seconds(8)
/** Plans within the trend's window without which no trend is assumed. */
export const MIN_TREND_POINTS = 5
/** Time over which the present demand is averaged. */
export const LEVEL_WINDOW = seconds(3)
/** A demand that exceeds the last ones by more than this many square roots of them is a burst: counts of calls vary by about one. */
export const BURST_DEVIATIONS = 1.5
/** Standard deviations of a trend that are taken off it, so that chance alone looks like no growth. */
export const TREND_CAUTION = 1
/** Forecasts stay within this multiple of the present demand, which is the largest burst to be expected. */
export const MAX_GROWTH = 2.5
/**
 * Spare capacity in square roots of the demand (square-root staffing): with 2, about 3% of the callers find all comfortable
 * places taken (Halfin-Whitt), and those still have the slots beyond.
 */
export const STAFFING_FACTOR = 2
/**
 * Largest share of the endpoints' concurrency that is planned to be used. Without one of three failure domains, the others
 * then have just enough slots.
 */
export const MAX_UTILISATION = 2 / 3
/** Time for which a lower need must last before endpoints leave; ones that are wanted back cost a boot time. */
export const FALL_WINDOW = seconds(8)
/**
 * Parts of an endpoint by which the need must exceed the ordered number before it rises, and lie below a lower number
 * before it falls: without them a steady need next to a whole number would change the order again and again.
 */
export const RISE_TOLERANCE = 0.1
export const FALL_MARGIN = 0.2
/** Weight that a measured hold time keeps with each plan: half after 35 s. */
export const HOLD_FIT_DECAY = 0.98
/** Variance of the utilisation below which the hold time is not taken to depend on it. */
export const MIN_UTILISATION_SPREAD = 0.002
/** Most by which a hold time at another utilisation is taken to differ from the measured mean. */
export const MAX_HOLD_CHANGE = 2
/** Time after which an idle failure domain that is out keeps only its minimum. */
export const OUT_PERIOD = seconds(10)
/** Demand points kept, at one a plan. */
export const MAX_POINTS = 64
/** Longest time until the last byte of an order is written. */
export const ORDER_SPAN = millis(500)
/** Orders that are under way at the same time; the platform takes 50 calls a second from all duties together. */
export const MAX_CONCURRENT_ORDERS = 4
/** Wait before the row of orders is read or written again after a failure. */
export const STORE_RETRY = seconds(2)
/** Bounds of the wait before an order without success is sent again. */
export const MIN_ORDER_RETRY = seconds(1)
export const MAX_ORDER_RETRY = seconds(4)
/** An accepted order is sent again if the list shows another number for twice the boot time and this. */
export const REPEAT_MARGIN = seconds(10)
/** Period at which an entry of the load report is sent in full, though the receiver has confirmed it. */
export const FULL_ENTRY_PERIOD = seconds(10)
/** Entries in one report: 400 bytes a second must do for two receivers and all sections. */
export const MAX_REPORT_ENTRIES = 8
/** Instances whose loads are kept, and entries of each. */
export const MAX_REPORTERS = 1000
export const MAX_REPORTER_ENTRIES = 64
/** Time after which the loads of an instance that is no longer heard of are dropped. */
export const REPORTER_RETENTION = seconds(30)
/** Weight of the newest call in the mean hold time. */
export const NEWEST_HOLD_WEIGHT = 0.05
/** Time for which new endpoints are assumed to be cold. */
export const DEFAULT_COLD_TIME = seconds(3)

import { millis, seconds } from '@papayahill/common'

/** Longest age of the roster copy at which a slot of a cold endpoint may be used. */
export const ROSTER_MAX_AGE = seconds(2)
/** How far two monotonic clocks may drift apart during {@link ROSTER_MAX_AGE}. */
export const CLOCK_DRIFT = millis(100)
/** Longest time from the platform's showing of a leaving endpoint, or an operator's out, to the last new work. */
export const OUT_MAX_DELAY = seconds(3)
/** Period of reads of the platform's instance list. */
export const LIST_PERIOD = millis(500)
/** Period of report polls while an endpoint is not warm. */
export const COLD_REPORT_PERIOD = millis(200)
/** Period of report polls while an endpoint is warm. */
export const WARM_REPORT_PERIOD = millis(1000)
/** Share by which periods vary, so that instances do not poll in step. */
export const PERIOD_JITTER = 0.2
/** Wait before an endpoint that refused a connection is tried again. */
export const RECONNECT_DELAY = millis(250)

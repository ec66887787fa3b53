import { millis, seconds } from '@papayahill/common'

/** Maximum age of the roster copy for use of a slot of a cold endpoint. */
export const ROSTER_MAX_AGE = seconds(2)
/** Maximum drift of two monotonic clocks during {@link ROSTER_MAX_AGE}. */
export const CLOCK_DRIFT = millis(100)
/** Period of reads of the platform's instance list. */
export const LIST_PERIOD = millis(500)
/** Period of report polls while an endpoint is not warm. */
export const COLD_REPORT_PERIOD = millis(200)
/** Period of report polls while an endpoint is warm. */
export const WARM_REPORT_PERIOD = millis(1000)
/** Relative jitter of periods, so that instances do not poll in lockstep. */
export const PERIOD_JITTER = 0.2
/** Wait before an endpoint that refused a connection is tried again. */
export const RECONNECT_DELAY = millis(250)
/** Maximum number of instances among which the slots of one cold endpoint are distributed. */
export const SLOT_OWNERS = 16
/** Maximum number of slots of one cold endpoint. */
export const COLD_SLOTS_MAX = 64
/** Assumed capacity of an endpoint, in concurrent calls, while its reports are missing. */
export const UNREPORTED_MAX_CONCURRENCY = 1
/** Time after which the calls of an instance that left the roster have ended: the longest call timeout. */
export const DEPARTED_CALL_MAX = seconds(60)
/** A call sent at least this long before a report was requested is certainly included in that report. */
export const CALL_REPORT_MARGIN = millis(100)
/** Longest wait for another instance's answer about its calls. */
export const SLOT_QUERY_TIMEOUT = millis(500)
/** Period of maintenance checks: missing reports, overdue calls, slot queries, domains. */
export const MAINTENANCE_PERIOD = millis(100)
/** Consecutive reports that may be missed before an endpoint counts as cold. */
export const MISSED_REPORTS = 3
/** Report polls of one instance per second, over all warm endpoints, in a deployment of up to {@link SLOT_OWNERS} instances. */
export const WARM_POLLS_PER_SECOND = 32
/** The same in a deployment of more than {@link SLOT_OWNERS} instances. */
export const WARM_POLLS_PER_SECOND_MANY = 8
/** Warm endpoints of one service and version that one instance keeps connections to. */
export const WARM_ENDPOINTS = 6
/** A call that runs this many times longer than the mean of its service makes the endpoint suspect. */
export const SUSPECT_FACTOR = 3
/** Minimum running time of an overdue call. */
export const SUSPECT_MIN = millis(200)
/** Share of the free capacity in a recent report that one of n sharing instances may borrow: this / sqrt(n), at most 1. */
export const BORROW_SHARE = 1.5
/** Maximum age of a report for borrowing capacity. */
export const BORROW_MAX_AGE = seconds(2)
/** Time after which an endpoint no longer works on a call that was cancelled or whose connection was closed. */
export const UNCERTAIN_CALL_SPAN = seconds(2)

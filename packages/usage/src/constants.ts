import { millis, seconds } from '@papayahill/common'

/** Length of a window, and the time after its end at which its report is due. */
export const DEFAULT_WINDOW = seconds(5)
export const DEFAULT_LATE = seconds(10)
/** Windows whose written reports are kept in the store and as copies. */
export const KEPT_REPORTS = 12
/** Windows after which a report that the platform has never accepted is given up. */
export const MAX_UNACCEPTED_REPORTS = 240
/** Windows that one transaction writes at most. */
export const MAX_COMMITTED_REPORTS = 240
/** Size of a row, in bytes of JSON, above which a report is split. */
export const MAX_ROW_BYTES = 40_000
/** How often the holder looks for windows to write and reports to send. */
export const STEP_PERIOD = millis(200)
/** Wait after a call to the store failed. */
export const STORE_RETRY = millis(400)
/** Wait after a call to the platform failed or was refused. */
export const SEND_RETRY = millis(400)
/** Times that a report is sent again after the platform refused it. */
export const MAX_REFUSALS = 20
/** Longest time that a call to the platform may take until its last byte is sent. */
export const DEFAULT_CALL_SPAN = millis(400)
/** Time that a new holder gives instances to report to it: their spread of 400 ms, the news of the holder and a report's way. */
export const TAKEOVER_GRACE = millis(1500)
/** Time before a report is due at which it is written even if this holder is new; it covers a write and a call that is repeated. */
export const LAST_MOMENT = millis(1500)
/** Share of the time within which a report is due for which instances that fell silent are waited for. */
export const AWAITED_SHARE = 0.25
/** Time after a window's end from which on missing reports are asked for at the other receivers. */
export const COLLECT_AFTER = millis(1500)
/**
 * How often they are asked for at most. An answer grows with the number of instances, and what one of them has counted matters less
 * the more there are.
 */
export const MIN_COLLECT_PERIOD = seconds(4)
export const COLLECT_PERIOD_PER_INSTANCE = millis(100)

/** Windows that a counter keeps, and the number of counts above which it drops the oldest ones. */
export const MAX_COUNTER_WINDOWS = 60
export const MAX_COUNTER_ENTRIES = 60_000
/** Least number of workspaces after which the numbers that stand for their names are given out anew. */
export const MAX_NAMES = 4096
/** Time after which what a receiver has confirmed is forgotten if it is no longer reported to. */
export const RECEIVER_TTL = seconds(60)
/** Time after which an instance that no longer reports is forgotten; longer than `RECEIVER_TTL`, so that a sender forgets first. */
export const REPORTER_TTL = seconds(180)
/** Windows that are kept after their report was written, by counters and receivers, so that late counts are noticed. */
export const LATE_WINDOWS = 3
/** Windows that a receiver keeps while none can be written: an hour. */
export const MAX_COLLECTED_WINDOWS = 720
/** Counts above which the oldest windows are kept as totals only; about 10 MB. */
export const MAX_COLLECTED_ENTRIES = 100_000
/** Counts that an instance hands on by instance; other windows go as totals, so that the message fits in one frame of 262 KB. */
export const MAX_EXPORTED_ENTRIES = 40_000

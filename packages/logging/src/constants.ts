import { bytes, millis, seconds } from '@papayahill/common'

/** Bytes of lines that are buffered while the reader of the output is slow or has stopped. */
export const MAX_BUFFERED_BYTES = bytes(1_048_576)
/** How often buffered lines are written. */
export const FLUSH_PERIOD = millis(50)
/** Lateness of such a write after which the next line starts it itself. */
export const MAX_FLUSH_DELAY = millis(50)
/** Maximum lines per second. Failures (levels warn and error) have a separate limit, so that other lines do not crowd them out. */
export const MAX_LINES_PER_SECOND = 600
export const MAX_FAILURE_LINES_PER_SECOND = 600
/** Period of the rate limits, after which the number of dropped lines is logged. */
export const COUNT_PERIOD = millis(1000)
/** Shares of the heap's limit from which its use is logged, each once until the use has fallen well below it. */
export const LOGGED_HEAP_SHARES = [0.5, 0.65, 0.8, 0.9]
/** How far below such a share the use falls before the share is logged again. */
export const HEAP_SHARE_MARGIN = 0.1
/** Event loop delay that is logged, and time without one after which the loop counts as on time again. */
export const LOGGED_LOOP_DELAY = millis(200)
export const LOOP_RECOVERY_TIME = seconds(1)

import { bytes, millis } from '@papayahill/common'

/** Bytes of lines that may wait for a reader of the output that is slow or has stopped. */
export const MAX_WAITING = bytes(1_048_576)
/** How often waiting lines are written, together. */
export const FLUSH_PERIOD = millis(50)
/** Lines a second at most; those of failures have a bound of their own, so that they are left out last. */
export const MAX_LINES_PER_SECOND = 600
export const MAX_FAILURE_LINES_PER_SECOND = 600
/** How often left out lines are counted in a line of their own. */
export const COUNT_PERIOD = millis(1000)

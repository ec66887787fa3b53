import { bytes, millis } from '@papayahill/common'

/** Calls of one stage at most, whatever the retry budget holds. */
export const MAX_ATTEMPTS = 4
export const BACKOFF_BASE = millis(10)
export const BACKOFF_MAX = millis(250)
/** A repeatable call that takes this many times its forecast counts as slow and is tried elsewhere. */
export const SLOW_FACTOR = 4
/** No call counts as slow before this time. */
export const SLOW_FLOOR = millis(200)
/** Part of a streamed answer that may wait for a slow caller. */
export const MAX_WAITING_BYTES = bytes(256 * 1024)
/** Weight of the newest stream in the moving mean of times to the first chunk. */
export const FIRST_CHUNK_WEIGHT = 0.1
/** How long an answer waits for its outcome to be recorded. */
export const RECORD_PATIENCE = millis(250)

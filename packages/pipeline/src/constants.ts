import { bytes, millis } from '@papayahill/common'

/** Max calls of one stage, regardless of the retry budget. */
export const MAX_ATTEMPTS = 4
export const BACKOFF_BASE = millis(10)
export const BACKOFF_MAX = millis(250)
/** A repeatable call that takes this many times its forecast counts as slow and is retried at another endpoint. */
export const SLOW_CALL_FACTOR = 4
/** Min time before a call counts as slow. */
export const MIN_SLOW_CALL_TIME = millis(200)
/** Max bytes of a streamed answer that are buffered for a slow caller. */
export const MAX_BUFFERED_BYTES = bytes(256 * 1024)
/** Weight of the latest stream in the moving mean of times to the first chunk. */
export const FIRST_CHUNK_WEIGHT = 0.1
/** Max wait of an answer for its outcome to be recorded. */
export const RECORD_TIMEOUT = millis(250)
/** Crashes of endpoints that one request may be part of before it is sent to no other. */
export const MAX_CRASHES_PER_REQUEST = 2

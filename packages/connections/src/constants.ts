import { bytes, millis, seconds } from '@papayahill/common'

/** Longest wait for a connection to an endpoint. */
export const OPEN_TIMEOUT = millis(500)
/** A connection that something between accepts and resets at once has never reached its endpoint. */
export const SETTLE_TIME = millis(25)
/** Time for which an idle connection is kept open; endpoints may request less by a keep-alive hint. */
export const IDLE_TIMEOUT = seconds(600)
/**
 * Bytes of an answer in addition to its content, such as its head and the framing of chunks: at most this many, and this many
 * times the bytes of the content. An endpoint that sends more sends no answer.
 */
export const MAX_ANSWER_OVERHEAD = bytes(131_072)
export const OVERHEAD_FACTOR = 8
/** Interim answers (1xx) that may come before the final one. */
export const MAX_INTERIM_ANSWERS = 32
/** Fields of an answer's head. A short one takes some 300 bytes of memory for as long as the answer lasts. */
export const MAX_ANSWER_FIELDS = 256

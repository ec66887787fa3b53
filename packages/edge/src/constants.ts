import { seconds } from '@papayahill/common'

/** Longest time a caller may take to send its headers. */
export const HEADERS_TIMEOUT = seconds(10)
/** Longest time a caller may take to send a whole request. */
export const REQUEST_TIMEOUT = seconds(30)
/** How long an idle connection is kept; longer than balancers keep theirs, so that they close first. */
export const KEEP_ALIVE_TIMEOUT = seconds(75)
/** Connections above the limit that still get an answer; more are dropped. */
export const CONNECTION_MARGIN = 32
/** Longest `Idempotency-Key`, in characters. */
export const KEY_MAX_LENGTH = 128
/** Largest body that operators may send, in bytes. */
export const OPERATOR_BODY_BYTES = 16_777_216
/** What operators see of attainment without asking for another window. */
export const STATUS_WINDOW = seconds(300)

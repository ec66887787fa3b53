import { seconds } from '@papayahill/common'

/** Maximum time in which a caller must send its headers. */
export const HEADERS_TIMEOUT = seconds(10)
/** Maximum time in which a caller must send a complete request. */
export const REQUEST_TIMEOUT = seconds(30)
/** Time for which an idle connection is kept; longer than load balancers keep theirs, so that they close first. */
export const KEEP_ALIVE_TIMEOUT = seconds(75)
/** Number of connections above the limit that still get an answer; further ones are dropped. */
export const CONNECTION_MARGIN = 32
/** Maximum length of `Idempotency-Key`, in characters. */
export const KEY_MAX_LENGTH = 128
/** Maximum body size of operators' requests, in bytes. */
export const OPERATOR_BODY_BYTES = 16_777_216
/** Default window over which status reports attainment. */
export const STATUS_WINDOW = seconds(300)

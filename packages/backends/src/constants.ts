import { bytes, seconds } from '@papayahill/common'

/** Timeout of a load report or a key look-up. */
export const QUERY_TIMEOUT = seconds(2)
/** Idle connections kept beside busy ones, so that a call is sent in the event loop iteration that granted its lease. */
export const SPARE_SOCKETS = 2
/** One more idle connection is kept for each this many busy ones. */
export const BUSY_PER_SPARE = 4
/** Idle connections above this number are closed. */
export const MAX_IDLE_SOCKETS = 64
/** Delay before reconnecting to an endpoint's lost feed. */
export const FEED_RETRY = seconds(1)
/** Connections per endpoint for reports and key look-ups. */
export const QUERY_CONNECTIONS = 2
/** Largest answer of a call that is not streamed. */
export const MAX_ANSWER = bytes(2_097_152)
/** Most text of a streamed answer. */
export const MAX_STREAM = bytes(33_554_432)
/** Largest answer that names an endpoint's incarnation, its load or the state of a key. */
export const MAX_QUERY_ANSWER = bytes(262_144)
/** Bytes of a stream of events since the last one that could be used, beyond which the stream counts as lost. */
export const MAX_BYTES_WITHOUT_EVENT = bytes(1_048_576)

import { seconds } from '@papayahill/common'

/** Longest wait for a load report or the look-up of a key. */
export const QUERY_TIMEOUT = seconds(2)
/** Connections that stand ready beside those at work, so that a call is handed over in the tick of its lease. */
export const SPARE_SOCKETS = 2
/** One more stands ready for each so many at work. */
export const BUSY_PER_SPARE = 4
/** Idle connections above this are closed. */
export const MAX_IDLE_SOCKETS = 64
/** Wait before an endpoint's lost feed is asked for again. */
export const FEED_RETRY = seconds(1)
/** Connections for reports, look-ups and the feed of one endpoint. */
export const QUERY_CONNECTIONS = 2

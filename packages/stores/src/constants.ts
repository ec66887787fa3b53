import { millis, seconds } from '@papayahill/common'

/** Longest wait for an answer of the platform. */
export const ANSWER_TIMEOUT = seconds(2)
/** Longest wait for a connection to the platform. */
export const CONNECT_TIMEOUT = millis(1000)
/** Connections that one client keeps to one platform service. */
export const CONNECTIONS = 8
/** Rows whose last seen content is kept, so that an unchanged one need not be sent again. */
export const KEPT_ROWS = 64
/** How long an idle connection is kept. */
export const IDLE_TIMEOUT = seconds(60)

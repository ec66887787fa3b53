import { bytes, millis, seconds } from '@papayahill/common'

/** Maximum wait for a response of the platform. */
export const RESPONSE_TIMEOUT = seconds(2)
/** Maximum wait for a connection to the platform. */
export const CONNECT_TIMEOUT = millis(1000)
/** Largest response of the platform, with its head; the largest sound one is a snapshot of the configuration. */
export const MAX_RESPONSE = bytes(16_777_216)
/** Maximum number of connections of one client to one platform service. */
export const MAX_CONNECTIONS = 8
/** Maximum number of rows cached for conditional requests. */
export const MAX_CACHED_ROWS = 64
/** How long an idle connection is kept. */
export const IDLE_TIMEOUT = seconds(60)

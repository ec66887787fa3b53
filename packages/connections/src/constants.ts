import { millis, seconds } from '@papayahill/common'

/** Longest wait for a connection to an endpoint. */
export const OPEN_TIMEOUT = millis(500)
/** How long an idle connection is kept; endpoints may hint at less. */
export const IDLE_TIMEOUT = seconds(600)

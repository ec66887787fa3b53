import { millis, seconds } from '@papayahill/common'

/** How long the balancer gets to see that the health check fails before the instance stops listening to it. */
export const BALANCER_NOTICE = seconds(2)
/** How often a draining instance looks whether its last request has ended. */
export const DRAIN_POLL = millis(50)
/** How long a start waits for a configuration from the store or from a peer. */
export const START_LIMIT = seconds(25)
export const START_POLL = millis(100)

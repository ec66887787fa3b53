import { millis, seconds } from '@papayahill/common'

/** Time for the load balancer to notice the failing health check before the instance stops accepting requests from it. */
export const DEREGISTRATION_DELAY = seconds(2)
/** How often a draining instance checks whether its last request has ended. */
export const DRAIN_POLL_PERIOD = millis(50)
/** Maximum time that a start waits for a configuration from the store or a peer. */
export const START_TIMEOUT = seconds(25)
export const START_POLL_PERIOD = millis(100)

import { millis, seconds } from '@papayahill/common'

/** Time that the callers' listener stays open after the health check begins to fail, so that load balancers notice before it closes. */
export const LISTENER_LINGER = seconds(2)
/** Period of checking whether running requests have ended, once a planned stop has met an error. */
export const STOP_CHECK_PERIOD = millis(50)

import { seconds } from '@papayahill/common'

/** Time that the callers' listener stays open after the health check begins to fail, so that load balancers notice before it closes. */
export const LISTENER_LINGER = seconds(2)

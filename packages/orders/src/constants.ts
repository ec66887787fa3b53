import { seconds } from '@papayahill/common'

/** How old the confirmation of the right to give orders may be when one is sent. */
export const GIVER_MAX_AGE = seconds(3)
/** What monotonic clocks of two instances may differ by over that age. */
export const GIVER_DRIFT = seconds(0.3)
/** Longest time that an order may be on its way to an endpoint. */
export const DELIVERY_TIMEOUT = seconds(10)
/** Time that the weight store needs between two loads where settings do not say. */
export const LOAD_INTERVAL = seconds(5)
/** Tries to get a fencing number before the store counts as unreachable. */
export const MAX_TRIES = 5
/** Wait between two tries. */
export const RETRY_PERIOD = seconds(0.5)
/** Orders remembered for the status. */
export const MAX_STATUSES = 200

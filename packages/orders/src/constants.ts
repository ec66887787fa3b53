import { seconds } from '@papayahill/common'

/** Max age of the confirmation of a grant when its order is sent. */
export const MAX_CONFIRMATION_AGE = seconds(3)
/** Max drift between the monotonic clocks of two instances over that age. */
export const MAX_CLOCK_DRIFT = seconds(0.3)
/** Timeout of an order's delivery to an endpoint. */
export const DELIVERY_TIMEOUT = seconds(10)
/** Default time that the weight store needs between two loads. */
export const LOAD_INTERVAL = seconds(5)
/** Tries to allocate a fencing token or reserve a load before the store counts as unavailable. */
export const MAX_STORE_TRIES = 5
/** Wait between two tries. */
export const RETRY_PERIOD = seconds(0.5)
/** Orders kept for the status. */
export const MAX_STATUSES = 200

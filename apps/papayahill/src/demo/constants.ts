import { millis, seconds } from '@papayahill/common'

/** How long callers send requests. */
export const DEMO_SPAN = seconds(19)
/** Mean time between two requests, over all callers. */
export const DEMO_REQUEST_GAP = millis(4)
/** Relative frequency of the classes, 1 for those not listed: look-ups are frequent, generation is rare. */
export const DEMO_WEIGHTS: Readonly<Record<string, number>> = { 'stock-lookup': 40, 'wholesale-order': 2, 'stock-reservation': 2 }
/** When the failure domain is taken out and brought back, from the start of the traffic. */
export const DEMO_OUT_AT = seconds(4)
export const DEMO_IN_AT = seconds(9)
/** Time from the start of the move to its deadline. */
export const DEMO_MOVE_SPAN = seconds(18)
/** Wait for the last answers, reports and cost rows before results are shown. */
export const DEMO_SETTLE = seconds(2)
/** Timeout of waiting until a configuration is in force, and until all endpoints are connected. */
export const DEMO_START_LIMIT = seconds(8)

import { millis, seconds } from '@papayahill/common'

/** How long callers send. */
export const DEMO_SPAN = seconds(19)
/** Mean time between two requests of all callers together. */
export const DEMO_REQUEST_GAP = millis(4)
/** Relative frequency of classes: look-ups come often, generation seldom. */
export const DEMO_WEIGHTS: Readonly<Record<string, number>> = { 'stock-lookup': 40, 'wholesale-order': 2, 'stock-reservation': 2 }
/** When the failure domain is taken out, and when it is brought back. */
export const DEMO_OUT_AT = seconds(4)
export const DEMO_IN_AT = seconds(9)
/** Time that the move of a version is given. */
export const DEMO_MOVE_SPAN = seconds(18)
/** How long the last answers, reports and cost rows may take to come in. */
export const DEMO_SETTLE = seconds(2)
export const DEMO_START_LIMIT = seconds(8)

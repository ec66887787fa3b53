import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { HOLD_FIT_DECAY, MAX_HOLD_CHANGE, MIN_UTILISATION_SPREAD } from './constants.js'

/** Sums of a least-squares line of the hold time over the utilisation; older values count less. */
export interface HoldFit {
  readonly weight: number
  readonly utilisation: number
  readonly hold: number
  readonly squares: number
  readonly products: number
}

export const EMPTY_HOLD_FIT: HoldFit = { weight: 0, utilisation: 0, hold: 0, squares: 0, products: 0 }

/** Adds a hold time that was measured at a utilisation. */
export const addHold = (fit: HoldFit, utilisation: number, hold: Millis): HoldFit => ({
  weight: fit.weight * HOLD_FIT_DECAY + 1,
  utilisation: fit.utilisation * HOLD_FIT_DECAY + utilisation,
  hold: fit.hold * HOLD_FIT_DECAY + hold,
  squares: fit.squares * HOLD_FIT_DECAY + utilisation ** 2,
  products: fit.products * HOLD_FIT_DECAY + utilisation * hold
})

/**
 * The time that a call holds its slot at a utilisation; undefined if nothing was measured. Calls take longer at busy
 * endpoints: were the time taken as measured, idle endpoints would seem to be needed less, and busy ones more, than they are.
 *
 * @example
 * holdAt(addHold(EMPTY_HOLD_FIT, 0.5, millis(300)), 0.7)
 */
export const holdAt = (fit: HoldFit, utilisation: number): Millis | undefined => {
  if (fit.weight === 0) return undefined
  const [meanUtilisation, meanHold] = [fit.utilisation / fit.weight, fit.hold / fit.weight]
  const spread = Math.max(0, fit.squares / fit.weight - meanUtilisation ** 2)
  const slope = Math.max(0, fit.products / fit.weight - meanUtilisation * meanHold) / (spread + MIN_UTILISATION_SPREAD)
  const hold = meanHold + slope * (utilisation - meanUtilisation)
  return millis(Math.min(meanHold * MAX_HOLD_CHANGE, Math.max(meanHold / MAX_HOLD_CHANGE, hold)))
}

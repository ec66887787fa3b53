import { TOLERATED_RATIO } from './constants.js'

/** Chance that an adverse call is one of the new version's, when those are `ratio` times as likely to be adverse. */
const chanceOfNew = (share: number, ratio: number): number => ratio * share / (ratio * share + 1 - share)

/**
 * Log likelihood ratio, in nats, of one adverse call of the new version: that its calls are `ratio` times
 * as often adverse, against the tolerated ratio. A fault that strikes both versions alike cancels out,
 * since its calls fall on the new one by its share alone.
 */
export const newCallNats = (share: number, ratio: number): number =>
  Math.log(chanceOfNew(share, ratio) / chanceOfNew(share, TOLERATED_RATIO))

/** The same of one adverse call of the old version; negative. */
export const oldCallNats = (share: number, ratio: number): number =>
  Math.log((1 - chanceOfNew(share, ratio)) / (1 - chanceOfNew(share, TOLERATED_RATIO)))

import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { FIRST_PLACE_PATIENCE, MAX_RETRY_AFTER, MIN_RETRY_AFTER } from './constants.js'

/** What is known of a request's way at its entrance. */
export interface Forecast {
  readonly timeLeft: Millis
  /** Waits at the least busy endpoint of each stage, one after the other. */
  readonly stageWaits: Millis
  /** Time of the stages' own calls. */
  readonly stageTime: Millis
  /** Time until an endpoint of the last call wants requests, where none does now. */
  readonly opensIn: Millis
  /** Time of the last call until its answer begins. */
  readonly answerTime: Millis
}

export type Admission =
  | { readonly kind: 'admitted', readonly forecast: Millis }
  | { readonly kind: 'refused', readonly forecast: Millis, readonly retryAfter: Millis }

/** Callers come back within this part of the time that they have left. */
const RETURN_SHARE = 0.3

/**
 * Refuses at the entrance what cannot be answered in its time, before anything is begun for it. It answers the load
 * under which stages have more pieces waiting than can be made within the callers' deadlines.
 *
 * @example
 * admit({ timeLeft, stageWaits, stageTime, opensIn, answerTime })
 */
export const admit = ({ timeLeft, stageWaits, stageTime, opensIn, answerTime }: Forecast): Admission => {
  const reached = stageWaits + stageTime
  const forecast = millis(Math.max(reached, opensIn) + answerTime)
  const isOpen = opensIn <= reached + FIRST_PLACE_PATIENCE
  if (isOpen && forecast <= timeLeft) return { kind: 'admitted', forecast }
  if (!isOpen) return { kind: 'refused', forecast, retryAfter: opensIn }
  const excess = forecast - timeLeft
  const most = Math.min(MAX_RETRY_AFTER, timeLeft * RETURN_SHARE)
  const retryAfter = millis(Math.min(most, Math.max(MIN_RETRY_AFTER, excess)))
  return { kind: 'refused', forecast, retryAfter }
}

import { epochMillis, millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, EpochMillis, Millis } from '@papayahill/common'
import { CallRate } from './CallRate.js'
import type { OpenMove } from './OpenMove.js'
import type { StepDecision } from './planStep.js'
import type { MoveState, MoveStatus } from './types.js'

export const UNCONFIRMED: StepDecision = { kind: 'hold', state: 'moving', because: 'the store has not confirmed the move yet' }

/**
 * A move in hand, with what the last look at it decided and what is under way for it.
 *
 * @example
 * const entry = new MoveEntry(open, clock)
 * entry.status(clock.wall())
 */
export class MoveEntry {
  readonly open: OpenMove
  readonly rate: CallRate
  decision: StepDecision = UNCONFIRMED
  /** Since when a step or the end has been due. */
  dueSince: Millis | undefined
  polledAt: Millis | undefined
  /** Until then the store is left alone, after it failed. */
  retryAt = millis(0)
  isBusy = false
  isStoreFailing = false
  #toldState: MoveState | undefined

  constructor (open: OpenMove, clock: Clock) {
    this.open = open
    this.rate = new CallRate(clock)
  }

  /** Whether the move has just entered a state. */
  isNews (state: MoveState): boolean {
    const isNews = state !== this.#toldState
    this.#toldState = state
    return isNews
  }

  status (now: EpochMillis): MoveStatus {
    const { move, takeBack, share, isTakeBackRecorded, record } = this.open
    const { service, from, to, by } = move
    const base = { service, from, to, by: epochMillis(by), share }
    if (takeBack !== undefined) return { ...base, state: 'taken-back', because: takeBack.because, isRecorded: isTakeBackRecorded }
    const isRecorded = record !== undefined
    const { decision } = this
    const { because } = decision
    const late = now - by
    if (late > 0) return { ...base, state: 'late', because: `${Math.ceil(late / MILLIS_PER_SECOND)} s late: ${because}`, isRecorded }
    return { ...base, state: decision.kind === 'hold' ? decision.state : 'moving', because, isRecorded }
  }
}

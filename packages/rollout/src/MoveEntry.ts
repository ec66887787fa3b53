import { epochMillis, millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, EpochMillis, Millis } from '@papayahill/common'
import { ConcurrencyEstimator } from './ConcurrencyEstimator.js'
import type { OpenMove } from './OpenMove.js'
import type { StepDecision } from './planStep.js'
import type { MoveState, MoveStatus } from './types.js'

export const UNCONFIRMED: StepDecision = { kind: 'hold', state: 'moving', because: 'the store has not confirmed the move yet' }

/**
 * An open move with its latest decision and the state of its pending work.
 *
 * @example
 * const entry = new MoveEntry(open, clock)
 * entry.status(clock.wall())
 */
export class MoveEntry {
  readonly open: OpenMove
  readonly concurrency: ConcurrencyEstimator
  decision: StepDecision = UNCONFIRMED
  /** Time since which a step or the completion has been due. */
  dueSince: Millis | undefined
  polledAt: Millis | undefined
  /** Earliest time of the next store access after a failure. */
  retryAt = millis(0)
  isBusy = false
  isStoreFailing = false
  #reportedState: MoveState | undefined

  constructor (open: OpenMove, clock: Clock) {
    this.open = open
    this.concurrency = new ConcurrencyEstimator(clock)
  }

  /** Records the current state; true if it differs from the last one. */
  enterState (state: MoveState): boolean {
    const isEntered = state !== this.#reportedState
    this.#reportedState = state
    return isEntered
  }

  status (now: EpochMillis): MoveStatus {
    const { move, rollback, share, isRollbackRecorded, record } = this.open
    const { service, from, to, by } = move
    const base = { service, from, to, by: epochMillis(by), share }
    if (rollback !== undefined) return { ...base, state: 'taken-back', because: rollback.because, isRecorded: isRollbackRecorded }
    const isRecorded = record !== undefined
    const { decision } = this
    const { because } = decision
    const late = now - by
    if (late > 0) return { ...base, state: 'late', because: `${Math.ceil(late / MILLIS_PER_SECOND)} s late: ${because}`, isRecorded }
    return { ...base, state: decision.kind === 'hold' ? decision.state : 'moving', because, isRecorded }
  }
}

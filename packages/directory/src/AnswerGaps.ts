import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { LAPSE_GRACE, USUAL_ANSWER_GAP } from './constants.js'

const NO_OUTAGE = millis(0)

/**
 * Spans in which the store confirmed a table to no instance that is heard here. By them an outage of the store is told
 * from one of a single instance that the store turns away.
 *
 * @example
 * gaps.noteAnswer(answeredAt, clock.now())
 * gaps.outageOf(reported, answeredAt, clock.now()) // 0 if the store answered others meanwhile
 */
export class AnswerGaps {
  /** When the store last confirmed the table, to this instance or to another. */
  #answeredAt: Millis | undefined
  #longGap: Millis = NO_OUTAGE
  #longGapEnd: Millis = millis(-Infinity)

  get answeredAt (): Millis | undefined {
    return this.#answeredAt
  }

  /** Records that the store confirmed the table at a time. */
  noteAnswer (at: Millis, now: Millis): void {
    const gap = this.#gapUntil(at)
    if (gap > USUAL_ANSWER_GAP) [this.#longGap, this.#longGapEnd] = [gap, now]
    this.#answeredAt = millis(Math.max(this.#answeredAt ?? at, at))
  }

  /**
   * The reported outage, which ended with an answer at the given time; none if the store answered somebody within it. A
   * poll without a change lasts for a while, so that a gap as long as that is no sign of an outage.
   */
  outageOf (reported: Millis, answeredAt: Millis, now: Millis): Millis {
    const recentGap = now - this.#longGapEnd < LAPSE_GRACE ? this.#longGap : NO_OUTAGE
    const gap = Math.max(recentGap, this.#gapUntil(answeredAt))
    return gap + USUAL_ANSWER_GAP >= reported ? reported : NO_OUTAGE
  }

  #gapUntil (at: Millis): Millis {
    return millis(Math.max(0, at - (this.#answeredAt ?? at)))
  }
}

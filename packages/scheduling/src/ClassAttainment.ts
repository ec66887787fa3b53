import { millis } from '@papayahill/common'
import type { ClassId, Millis } from '@papayahill/common'
import type { ClassSettings, Target } from '@papayahill/settings'
import { ATTAINMENT_WEIGHT, FULL_BOOST_GAP, MAX_BOOST, MAX_PENALTY_SHARE } from './constants.js'

/** Time until the first chunk of a streamed answer, or until the answer. */
export const allowedTime = (target: Target): Millis => target.firstChunk ?? target.deadline

/** Whether the left target is tighter: it allows less time, or the same time and fewer misses. */
export const isTighter = (left: Target, right: Target): boolean => {
  const difference = allowedTime(left) - allowedTime(right)
  return difference < 0 || (difference === 0 && left.attainment > right.attainment)
}

/**
 * Tracks how often the admitted requests of each class meet its target. A class behind its target gets a boost in the
 * queue; a class ahead of it gets a penalty (negative boost).
 *
 * @example
 * attainment.record(settings, false)
 * attainment.boost(settings.id) // milliseconds by which its entries count as more urgent
 */
export class ClassAttainment {
  readonly #attained = new Map<ClassId, number>()
  readonly #boosts = new Map<ClassId, Millis>()

  record (settings: ClassSettings, isMet: boolean): void {
    const before = this.#attained.get(settings.id) ?? settings.target.attainment
    const attained = before + ATTAINMENT_WEIGHT * (Number(isMet) - before)
    this.#attained.set(settings.id, attained)
    const gap = (settings.target.attainment - attained) / FULL_BOOST_GAP
    const share = Math.max(-1, Math.min(1, gap))
    const limit = share > 0 ? MAX_BOOST : Math.min(MAX_BOOST, MAX_PENALTY_SHARE * allowedTime(settings.target))
    this.#boosts.set(settings.id, millis(share * limit))
  }

  boost (classId: ClassId): Millis {
    return this.#boosts.get(classId) ?? millis(0)
  }
}

import { millis } from '@papayahill/common'
import type { ClassId, Millis } from '@papayahill/common'
import type { ClassSettings, Target } from '@papayahill/settings'
import { FULL_GAP, MAX_GAIN, STANDING_WEIGHT, YIELD_SHARE } from './constants.js'

/** The time that a target allows until the caller must see something. */
export const allowedTime = (target: Target): Millis => target.firstChunk ?? target.deadline

/** Whether the left target goes before the right one: the tighter, then the one that allows fewer misses. */
export const isTighter = (left: Target, right: Target): boolean => {
  const difference = allowedTime(left) - allowedTime(right)
  return difference < 0 || (difference === 0 && left.attainment > right.attainment)
}

/**
 * How the admitted requests of each class stand against its target, and what it gains or yields in the queue for it.
 *
 * @example
 * standing.note(settings, false)
 * standing.gain(settings.id) // milliseconds by which its entries count as more urgent
 */
export class ClassStanding {
  readonly #attained = new Map<ClassId, number>()
  readonly #gains = new Map<ClassId, Millis>()

  note (settings: ClassSettings, isMet: boolean): void {
    const before = this.#attained.get(settings.id) ?? settings.target.attainment
    const attained = before + STANDING_WEIGHT * (Number(isMet) - before)
    this.#attained.set(settings.id, attained)
    const gap = (settings.target.attainment - attained) / FULL_GAP
    const share = Math.max(-1, Math.min(1, gap))
    const most = share > 0 ? MAX_GAIN : Math.min(MAX_GAIN, YIELD_SHARE * allowedTime(settings.target))
    this.#gains.set(settings.id, millis(share * most))
  }

  gain (classId: ClassId): Millis {
    return this.#gains.get(classId) ?? millis(0)
  }
}

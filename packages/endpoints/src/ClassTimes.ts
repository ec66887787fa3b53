import type { ClassId, Millis } from '@papayahill/common'

/** Calls over which the usual time of a class is averaged; long, so that a short slow period does not change it. */
const USUAL_CALLS = 256

interface UsualTime {
  mean: number
  count: number
}

/**
 * The usual call time of each class at one service, so that calls of short and long classes can be compared.
 *
 * @example
 * const times = new ClassTimes()
 * times.relative(guide, millis(900)) // 1 for the first call, later a multiple of the usual time
 */
export class ClassTimes {
  readonly #usual = new Map<ClassId, UsualTime>()

  /** Records a call's time and returns it as a multiple of the usual time of its class. */
  relative (classId: ClassId, took: Millis): number {
    const usual = this.#usual.get(classId) ?? { mean: took, count: 0 }
    this.#usual.set(classId, usual)
    usual.count++
    usual.mean += (took - usual.mean) / Math.min(usual.count, USUAL_CALLS)
    return usual.mean === 0 ? 1 : took / usual.mean
  }
}

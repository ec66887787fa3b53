import type { ClassId, Millis } from '@papayahill/common'

/** Calls over which the usual time of a class is averaged; long, so that it does not follow a slow spell. */
const USUAL_CALLS = 256

interface Usual {
  mean: number
  count: number
}

/**
 * The usual time of each class's calls at one service, so that calls of short and long classes can be compared.
 *
 * @example
 * const times = new ClassTimes()
 * times.relative(guide, millis(900)) // 1 for the first call, later the share of the usual time
 */
export class ClassTimes {
  readonly #usual = new Map<ClassId, Usual>()

  /** Takes a call's time; tells it as a multiple of what is usual in its class. */
  relative (of: ClassId, took: Millis): number {
    const usual = this.#usual.get(of) ?? { mean: took, count: 0 }
    this.#usual.set(of, usual)
    usual.count++
    usual.mean += (took - usual.mean) / Math.min(usual.count, USUAL_CALLS)
    return usual.mean === 0 ? 1 : took / usual.mean
  }
}

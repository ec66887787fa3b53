import { millis } from '@papayahill/common'
import type { ClassId, Millis, StageId } from '@papayahill/common'
import { SAMPLE_WEIGHT } from './constants.js'

/**
 * Moving mean of call times per class and stage.
 *
 * @example
 * times.record(classId, stage, millis(40))
 * times.mean(classId, stage) // 40
 */
export class CallTimes {
  readonly #means = new Map<string, number>()

  record (classId: ClassId, stage: StageId, took: Millis): void {
    const key = keyOf(classId, stage)
    const mean = this.#means.get(key) ?? took
    this.#means.set(key, mean + SAMPLE_WEIGHT * (took - mean))
  }

  /** Records a lower bound, from a call that timed out; it never lowers the mean. */
  recordAtLeast (classId: ClassId, stage: StageId, took: Millis): void {
    if (took > (this.mean(classId, stage) ?? 0)) this.record(classId, stage, took)
  }

  mean (classId: ClassId, stage: StageId): Millis | undefined {
    const mean = this.#means.get(keyOf(classId, stage))
    return mean === undefined ? undefined : millis(mean)
  }
}

const keyOf = (classId: ClassId, stage: StageId): string => `${classId}/${stage}`

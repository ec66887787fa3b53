import type { ClassId, ServiceId } from '@papayahill/common'
import { RETRY_BURST, INITIAL_RETRIES, RETRY_RATIO } from './constants.js'

/**
 * Token buckets per class and service: successes add tokens, retries take them.
 *
 * @example
 * budget.recordSuccess(classId, service)
 * if (budget.tryTake(classId, service)) await retry()
 */
export class RetryBudget {
  readonly #tokens = new Map<string, number>()

  recordSuccess (classId: ClassId, service: ServiceId): void {
    const key = `${classId}/${service}`
    this.#tokens.set(key, Math.min(RETRY_BURST, this.#left(key) + RETRY_RATIO))
  }

  tryTake (classId: ClassId, service: ServiceId): boolean {
    const key = `${classId}/${service}`
    const left = this.#left(key)
    if (left < 1) return false
    this.#tokens.set(key, left - 1)
    return true
  }

  #left (key: string): number {
    return this.#tokens.get(key) ?? INITIAL_RETRIES
  }
}

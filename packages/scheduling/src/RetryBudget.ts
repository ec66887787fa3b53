import type { ClassId, ServiceId } from '@papayahill/common'
import { RETRY_BURST, RETRY_FIRST, RETRY_RATIO } from './constants.js'

/**
 * Token buckets per class and service: successes fill them, retries empty them.
 *
 * @example
 * budget.succeeded(classId, service)
 * if (budget.take(classId, service)) await again()
 */
export class RetryBudget {
  readonly #tokens = new Map<string, number>()

  succeeded (classId: ClassId, service: ServiceId): void {
    const key = `${classId}/${service}`
    this.#tokens.set(key, Math.min(RETRY_BURST, this.#left(key) + RETRY_RATIO))
  }

  take (classId: ClassId, service: ServiceId): boolean {
    const key = `${classId}/${service}`
    const left = this.#left(key)
    if (left < 1) return false
    this.#tokens.set(key, left - 1)
    return true
  }

  #left (key: string): number {
    return this.#tokens.get(key) ?? RETRY_FIRST
  }
}

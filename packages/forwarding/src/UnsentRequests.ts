import type { ServiceId } from '@papayahill/common'
import type { ForwardRequest } from './types.js'

/**
 * Admitted requests that were not yet sent to an endpoint of their service, such as those whose stages are running.
 *
 * @example
 * unsent.add(service, request)
 * unsent.count(service) // 1
 */
export class UnsentRequests {
  readonly #byService = new Map<ServiceId, Set<ForwardRequest>>()

  count (service: ServiceId): number {
    return this.#byService.get(service)?.size ?? 0
  }

  add (service: ServiceId, request: ForwardRequest): void {
    const requests = this.#byService.get(service) ?? new Set()
    this.#byService.set(service, requests.add(request))
  }

  delete (service: ServiceId, request: ForwardRequest): void {
    const requests = this.#byService.get(service)
    if (requests?.delete(request) === true && requests.size === 0) this.#byService.delete(service)
  }
}

import type { ServiceId } from '@papayahill/common'
import PQueue from 'p-queue'

/** Requests of a service beyond its slots that are let through to its endpoints' own queues. */
const OVERCOMMIT = 2
const MIN_CONCURRENCY = 8

/**
 * Requests of each service in the order of their priority, as many at once as its endpoints take.
 *
 * @example
 * await gate.run(service, slots, priority, () => work())
 */
export class ServiceGate {
  readonly #queues = new Map<ServiceId, PQueue>()

  run<Value> (service: ServiceId, slots: number, priority: number, work: () => Promise<Value>): Promise<Value> {
    const queue = this.#of(service)
    const concurrency = Math.max(MIN_CONCURRENCY, slots * OVERCOMMIT)
    if (queue.concurrency !== concurrency) queue.concurrency = concurrency
    return queue.add(work, { priority: -priority })
  }

  /** Requests that wait for their turn. */
  get waiting (): number {
    return [...this.#queues.values()].reduce((sum, queue) => sum + queue.size, 0)
  }

  #of (service: ServiceId): PQueue {
    const known = this.#queues.get(service)
    if (known !== undefined) return known
    const queue = new PQueue({ concurrency: MIN_CONCURRENCY })
    this.#queues.set(service, queue)
    return queue
  }
}

import type { ServiceId } from '@papayahill/common'
import PQueue from 'p-queue'

/** Concurrent requests per slot of a service; those beyond its slots keep the queues of its endpoints from running empty. */
const OVERCOMMIT = 2
const MIN_CONCURRENCY = 8

/**
 * Limits the concurrent requests of each service by the slots of its endpoints; the others wait in order of priority.
 *
 * @example
 * await gate.run(service, slots, priority, () => work())
 */
export class ServiceGate {
  readonly #queues = new Map<ServiceId, PQueue>()

  /** Number of services with requests. */
  get size (): number {
    return this.#queues.size
  }

  async run<Value> (service: ServiceId, slots: number, priority: number, work: () => Promise<Value>): Promise<Value> {
    const concurrency = Math.max(MIN_CONCURRENCY, slots * OVERCOMMIT)
    const queue = this.#queueOf(service, concurrency)
    if (queue.concurrency !== concurrency) queue.concurrency = concurrency
    return await queue.add(work, { priority: -priority })
  }

  /** Lets all queued requests of a service run. */
  open (service: ServiceId): void {
    const queue = this.#queues.get(service)
    if (queue !== undefined) queue.concurrency = Infinity
  }

  /** Queued requests of all services. */
  get waiting (): number {
    return [...this.#queues.values()].reduce((sum, queue) => sum + queue.size, 0)
  }

  /** Queued requests of one service. */
  waitingFor (service: ServiceId): number {
    return this.#queues.get(service)?.size ?? 0
  }

  /** A new queue begins with its concurrency: a change of it would make the empty queue idle, and an idle queue is removed. */
  #queueOf (service: ServiceId, concurrency: number): PQueue {
    const known = this.#queues.get(service)
    if (known !== undefined) return known
    const queue = new PQueue({ concurrency })
    this.#queues.set(service, queue)
    // Configurations may name new services as long as the process lives.
    queue.on('idle', () => this.#queues.delete(service))
    return queue
  }
}

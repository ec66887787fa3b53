import type { EndpointLease, EndpointPool, LeaseWant } from '@papayahill/endpoints'
import type { ServiceId } from '@papayahill/common'
import PQueue from 'p-queue'
import { MAX_MISSES } from './constants.js'
import { queueClassOf, SlackQueue } from './SlackQueue.js'
import type { ClassGain, QueueEntry, SlackOptions } from './SlackQueue.js'

/** A call that waits for a slot. */
export interface WaitingCall {
  readonly id: string
  readonly entry: QueueEntry
  readonly want: LeaseWant
  /** Runs with the slot, in the tick in which it was given; resolves once the slot is given back. */
  readonly run: (lease: EndpointLease) => Promise<void>
}

/**
 * The calls of one service that wait for a slot, on one p-queue whose concurrency follows the pool's slots.
 *
 * @example
 * queue.add({ id, entry, want, run: async (lease) => { await call(lease) } })
 */
export class ServiceQueue {
  readonly #pool: EndpointPool
  readonly #service: ServiceId
  readonly #order: SlackQueue
  readonly #queue: PQueue<SlackQueue, SlackOptions>
  /** Calls for which no slot was free when it was their turn. */
  readonly #parked = new Map<string, WaitingCall>()
  #misses = 0

  constructor (pool: EndpointPool, service: ServiceId, gain: ClassGain) {
    this.#pool = pool
    this.#service = service
    this.#order = new SlackQueue(gain)
    this.#queue = new PQueue<SlackQueue, SlackOptions>({ queueClass: queueClassOf(this.#order) })
    this.#follow()
    pool.onFree(service, () => this.wake())
  }

  /** Calls that wait for a slot. */
  get waiting (): number {
    return this.#order.size + this.#parked.size
  }

  add (call: WaitingCall): void {
    this.#follow()
    this.#enqueue(call)
  }

  /** Takes back a call that was given up while it waited. */
  remove (id: string): void {
    this.#parked.delete(id)
    this.#order.remove(id)
  }

  /** Offers the slots that may have come free. */
  wake (): void {
    this.#misses = 0
    this.#follow()
    const parked = [...this.#parked.values()]
    this.#parked.clear()
    for (const call of parked) this.#enqueue(call)
    this.#queue.start()
  }

  #follow (): void {
    const slots = Math.max(1, this.#pool.capacity(this.#service).slots)
    if (slots !== this.#queue.concurrency) this.#queue.concurrency = slots
  }

  #enqueue (call: WaitingCall): void {
    void this.#queue.add(() => this.#offer(call), { id: call.id, entry: call.entry })
  }

  async #offer (call: WaitingCall): Promise<void> {
    const lease = this.#pool.tryLease(call.want)
    if (lease === undefined) {
      this.#park(call)
      return
    }
    this.#misses = 0
    await call.run(lease)
  }

  #park (call: WaitingCall): void {
    this.#parked.set(call.id, call)
    this.#misses++
    if (this.#misses >= MAX_MISSES) this.#queue.pause()
  }
}

import type { ServiceId } from '@papayahill/common'
import type { EndpointLease, EndpointPool, LeaseRequest } from '@papayahill/endpoints'
import PQueue from 'p-queue'
import { REQUEUED_CALLS } from './constants.js'
import { queueClassOf, SlackQueue } from './SlackQueue.js'
import type { ClassBoost, QueueEntry, SlackOptions } from './SlackQueue.js'

/** A call that waits for a slot. */
export interface WaitingCall {
  readonly id: string
  readonly entry: QueueEntry
  readonly leaseRequest: LeaseRequest
  /** Runs with the slot, in the event loop iteration in which it is granted; resolves once the slot is released. */
  readonly run: (lease: EndpointLease) => Promise<void>
}

/** Identifies the endpoints that may serve a call. Calls with the same key either all find a free slot or none does. */
type EligibilityKey = string

/**
 * Queue of the calls that wait for a slot of one service: a p-queue whose concurrency follows the slots of the pool.
 * Calls for whose versions and exclusions no slot is free are parked, so that they do not block others.
 *
 * @example
 * queue.add({ id, entry, leaseRequest, run: async (lease) => { await call(lease) } })
 */
export class ServiceQueue {
  readonly #pool: EndpointPool
  readonly #service: ServiceId
  readonly #boost: ClassBoost
  readonly #order: SlackQueue
  readonly #queue: PQueue<SlackQueue, SlackOptions>
  /** Calls for which no slot was free when they reached the head of the queue. */
  readonly #parked = new Map<EligibilityKey, SlackQueue>()
  /** Keys for which no slot has been found since the last wake-up. */
  readonly #exhausted = new Set<EligibilityKey>()

  constructor (pool: EndpointPool, service: ServiceId, boost: ClassBoost) {
    this.#pool = pool
    this.#service = service
    this.#boost = boost
    this.#order = new SlackQueue(boost)
    this.#queue = new PQueue<SlackQueue, SlackOptions>({ queueClass: queueClassOf(this.#order) })
    this.#syncConcurrency()
    pool.onFree(service, () => this.wake())
  }

  /** Calls that wait for a slot. */
  get waiting (): number {
    let waiting = this.#order.size
    for (const calls of this.#parked.values()) waiting += calls.size
    return waiting
  }

  add (call: WaitingCall): void {
    this.#syncConcurrency()
    this.#enqueue(call)
  }

  /** Removes a call that was cancelled or timed out while it waited. */
  remove (id: string): void {
    this.#order.remove(id)
    for (const calls of this.#parked.values()) calls.remove(id)
  }

  /** Retries parked calls when slots may have become free. */
  wake (): void {
    this.#exhausted.clear()
    this.#syncConcurrency()
    for (const [eligibilityKey, calls] of this.#parked) {
      if (calls.size === 0) this.#parked.delete(eligibilityKey)
      else this.#requeue(eligibilityKey, REQUEUED_CALLS)
    }
  }

  #syncConcurrency (): void {
    const slots = Math.max(1, this.#pool.capacity(this.#service).slots)
    if (slots !== this.#queue.concurrency) this.#queue.concurrency = slots
  }

  #enqueue (call: WaitingCall): void {
    void this.#queue.add(() => this.#tryRun(call), { id: call.id, entry: call.entry })
  }

  async #tryRun (call: WaitingCall): Promise<void> {
    const eligibilityKey = eligibilityKeyOf(call.leaseRequest)
    const lease = this.#exhausted.has(eligibilityKey) ? undefined : this.#pool.tryLease(call.leaseRequest)
    if (lease === undefined) {
      this.#park(eligibilityKey, call)
      return
    }
    this.#requeue(eligibilityKey, 1)
    await call.run(lease)
  }

  #park (eligibilityKey: EligibilityKey, call: WaitingCall): void {
    this.#exhausted.add(eligibilityKey)
    const calls = this.#parked.get(eligibilityKey) ?? new SlackQueue(this.#boost)
    this.#parked.set(eligibilityKey, calls)
    calls.enqueue(async () => this.#enqueue(call), { id: call.id, entry: call.entry })
  }

  /** Moves the first parked calls of a key back to the queue. */
  #requeue (eligibilityKey: EligibilityKey, count: number): void {
    const calls = this.#parked.get(eligibilityKey)
    for (let requeued = 0; requeued < count; requeued++) void calls?.dequeue()?.()
  }
}

const eligibilityKeyOf = (leaseRequest: LeaseRequest): EligibilityKey => `${leaseRequest.versions.join(' ')}/${[...leaseRequest.exclude].join(' ')}`

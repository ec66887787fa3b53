import { millis, MovingMeans } from '@papayahill/common'
import type { Clock, Millis, ServiceId } from '@papayahill/common'
import PQueue from 'p-queue'
import { HOLD_TIME_WEIGHT } from './constants.js'

/** Concurrent requests per slot of a service; those beyond its slots keep the queues of its endpoints from running empty. */
const OVERCOMMIT = 2
const MIN_CONCURRENCY = 8
const NO_WAIT = millis(0)

/** What decides when work has its turn. */
export interface GateTurn {
  readonly service: ServiceId
  /** Slots of the service's endpoints. */
  readonly slots: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Withdraws work that still waits for its turn. */
  readonly signal: AbortSignal
}

/** The queue of one service. */
interface ServiceQueue {
  readonly queue: PQueue
  /** Number of waiting requests by priority. */
  readonly waiting: Map<number, number>
}

const concurrencyOf = ({ slots }: Pick<GateTurn, 'slots'>): number => Math.max(MIN_CONCURRENCY, slots * OVERCOMMIT)

/**
 * Limits the concurrent requests of each service by the slots of its endpoints; the others wait in order of priority.
 *
 * @example
 * await gate.run({ service, slots, priority, signal }, () => work())
 */
export class ServiceGate {
  readonly #clock: Pick<Clock, 'now'>
  readonly #queues = new Map<ServiceId, ServiceQueue>()
  /** Times for which requests of each service take a place. */
  readonly #holdTimes = new MovingMeans<ServiceId>({ weight: HOLD_TIME_WEIGHT, initial: NO_WAIT })

  constructor (clock: Pick<Clock, 'now'>) {
    this.#clock = clock
  }

  /** Number of services with requests. */
  get size (): number {
    return this.#queues.size
  }

  /** Runs the work when it has its turn; rejects with the signal's reason, at once, if that is aborted before. */
  async run<Value> (turn: GateTurn, work: () => Promise<Value>): Promise<Value> {
    const { service, priority, signal } = turn
    const concurrency = concurrencyOf(turn)
    const { queue, waiting } = this.#queueOf(service, concurrency)
    if (queue.concurrency !== concurrency) queue.concurrency = concurrency
    waiting.set(priority, (waiting.get(priority) ?? 0) + 1)
    let isWaiting = true
    const leave = (): void => {
      if (isWaiting) waiting.set(priority, waiting.get(priority)! - 1)
      isWaiting = false
    }
    try {
      return await queue.add(() => {
        leave()
        return work()
      }, { priority: -priority, signal })
    } finally {
      leave()
    }
  }

  /** Does work that has its turn, and learns from it how long requests of the service take a place. */
  async measure<Value> (service: ServiceId, work: () => Promise<Value>): Promise<Value> {
    const begunAt = this.#clock.now()
    try {
      return await work()
    } finally {
      this.#holdTimes.record(service, millis(this.#clock.now() - begunAt))
    }
  }

  /** Expected time until a request that arrives now has its turn, by those ahead of it and the usual time of a place. */
  expectedWait (turn: Omit<GateTurn, 'signal'>): Millis {
    const known = this.#queues.get(turn.service)
    const concurrency = concurrencyOf(turn)
    if (known === undefined || known.queue.pending < concurrency) return NO_WAIT
    const ahead = [...known.waiting].reduce((sum, [priority, count]) => priority <= turn.priority ? sum + count : sum, 0)
    return millis((ahead + 1) * this.#holdTimes.mean(turn.service) / concurrency)
  }

  /** Lets all queued requests of a service run. */
  open (service: ServiceId): void {
    const known = this.#queues.get(service)
    if (known !== undefined) known.queue.concurrency = Infinity
  }

  /** Queued requests of all services. */
  get waiting (): number {
    return [...this.#queues.values()].reduce((sum, { queue }) => sum + queue.size, 0)
  }

  /** Queued requests of one service. */
  waitingFor (service: ServiceId): number {
    return this.#queues.get(service)?.queue.size ?? 0
  }

  /** A new queue begins with its concurrency: a change of it would make the empty queue idle, and an idle queue is removed. */
  #queueOf (service: ServiceId, concurrency: number): ServiceQueue {
    const known = this.#queues.get(service)
    if (known !== undefined) return known
    const created = { queue: new PQueue({ concurrency }), waiting: new Map<number, number>() }
    this.#queues.set(service, created)
    // Configurations may name new services as long as the process lives.
    created.queue.on('idle', () => this.#queues.delete(service))
    return created
  }
}

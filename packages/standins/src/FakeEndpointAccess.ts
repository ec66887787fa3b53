import { millis } from '@papayahill/common'
import type { Clock, EndpointId, EndpointIncarnation, IdempotencyKey, InstanceId, Millis, Random } from '@papayahill/common'
import type {
  CacheEvent, CallError, EndpointAccess, EndpointConnection, KeyStatus, LoadReport, StageAnswer, StageCall, StageChunk
} from '@papayahill/endpoints'
import type { ListedEndpoint } from '@papayahill/stores'
import { Result } from 'true-myth'
import type { FakeEndpoint } from './FakeEndpoint.js'
import { linkSignals } from './linkSignals.js'

const NOT_CONNECTED: CallError = { outcome: 'not-sent', detail: 'connection refused', isRefused: true }

/** All fake endpoints of a deployment, shared by the instances that connect to them. */
export class FakeFleet {
  readonly #endpoints = new Map<EndpointId, FakeEndpoint>()

  add (endpoint: FakeEndpoint): void {
    this.#endpoints.set(endpoint.listed.id, endpoint)
  }

  get (id: EndpointId): FakeEndpoint | undefined {
    return this.#endpoints.get(id)
  }

  all (): readonly FakeEndpoint[] {
    return [...this.#endpoints.values()]
  }
}

export interface FakeAccessOptions {
  readonly clock: Clock
  readonly random: Random
  readonly fleet: FakeFleet
  /** The instance that these connections belong to, for the trace. */
  readonly instance: InstanceId
  /** One-way delay to an endpoint. */
  readonly delay?: Millis
  /** Delay of reports and cache events. */
  readonly lag?: Millis
  /** Delay of cache events, if it differs from `lag`. */
  readonly eventLag?: Millis
  readonly lostCacheEventShare?: number
}

/**
 * One instance's access to a {@link FakeFleet}.
 *
 * @example
 * const access = new FakeEndpointAccess({ clock, random, fleet, instance, lag: millis(400) })
 */
export class FakeEndpointAccess implements EndpointAccess {
  readonly #options: FakeAccessOptions
  readonly #delay: Millis
  readonly #lag: Millis
  readonly #watched = new Set<EndpointId>()
  readonly #cacheListeners: Array<(event: CacheEvent) => void> = []
  readonly #reportListeners: Array<(report: LoadReport) => void> = []

  constructor (options: FakeAccessOptions) {
    this.#options = options
    this.#delay = options.delay ?? millis(1)
    this.#lag = options.lag ?? millis(200)
  }

  async open (endpoint: ListedEndpoint): Promise<Result<EndpointConnection, CallError>> {
    await this.#options.clock.sleep(this.#delay)
    const fake = this.#options.fleet.get(endpoint.id)
    if (fake === undefined || !fake.isAlive) return Result.err(NOT_CONNECTED)
    this.#watch(fake)
    const connection = new FakeConnection(fake, this.#options.clock, this.#delay, this.#options.instance)
    await this.#options.clock.sleep(this.#delay)
    return Result.ok(connection)
  }

  async report (endpoint: ListedEndpoint): Promise<Result<LoadReport, CallError>> {
    const fake = this.#options.fleet.get(endpoint.id)
    if (fake === undefined || !fake.isAlive || fake.faults.isSilent) return Result.err(NOT_CONNECTED)
    const report = fake.report()
    await this.#options.clock.sleep(this.#lag)
    return Result.ok(report)
  }

  onReport (listener: (report: LoadReport) => void): void {
    this.#reportListeners.push(listener)
  }

  onCacheEvent (listener: (event: CacheEvent) => void): void {
    this.#cacheListeners.push(listener)
  }

  /** Pushes an unsolicited report, as an endpoint does; it arrives after the lag. */
  push (endpoint: FakeEndpoint): void {
    if (endpoint.faults.isSilent || !endpoint.isAlive) return
    const report = endpoint.report()
    this.#options.clock.after(this.#lag, () => {
      for (const listener of this.#reportListeners) listener(report)
    })
  }

  async lookUp (endpoint: ListedEndpoint, key: IdempotencyKey): Promise<Result<KeyStatus, CallError>> {
    await this.#options.clock.sleep(millis(2 * this.#delay))
    const fake = this.#options.fleet.get(endpoint.id)
    if (fake === undefined || !fake.isAlive) return Result.err(NOT_CONNECTED)
    return Result.ok(fake.keyStatus(key))
  }

  #watch (fake: FakeEndpoint): void {
    if (this.#watched.has(fake.listed.id)) return
    this.#watched.add(fake.listed.id)
    fake.onCacheEvent((event) => this.#passCacheEvent(event))
  }

  #passCacheEvent (event: CacheEvent): void {
    if (this.#options.random.next() < (this.#options.lostCacheEventShare ?? 0)) return
    this.#options.clock.after(this.#options.eventLag ?? this.#lag, () => {
      for (const listener of this.#cacheListeners) listener(event)
    })
  }
}

class FakeConnection implements EndpointConnection {
  readonly incarnation: EndpointIncarnation
  readonly #endpoint: FakeEndpoint
  readonly #clock: Clock
  readonly #delay: Millis
  readonly #instance: InstanceId
  readonly #listeners: Array<() => void> = []
  #isOpen = true

  constructor (endpoint: FakeEndpoint, clock: Clock, delay: Millis, instance: InstanceId) {
    this.#endpoint = endpoint
    this.#clock = clock
    this.#delay = delay
    this.#instance = instance
    this.incarnation = endpoint.incarnation
    endpoint.onRestart((isSilent) => { if (!isSilent) this.close() })
  }

  get isOpen (): boolean {
    return this.#isOpen
  }

  async call (
    call: StageCall, onChunk: (chunk: StageChunk) => void, signal: AbortSignal
  ): Promise<Result<StageAnswer, CallError>> {
    if (!this.#isOpen) return Result.err(NOT_CONNECTED)
    if (signal.aborted) return Result.err({ outcome: 'not-sent', detail: 'cancelled before it was sent' })
    const linked = linkSignals([signal])
    const timer = this.#clock.after(call.timeout, () => linked.abort())
    await this.#clock.sleep(this.#delay)
    const result = await this.#serve(call, onChunk, linked.signal)
    linked.release()
    await this.#clock.sleep(this.#delay)
    timer.cancel()
    const isTimeout = result.isErr && result.error.outcome === 'cancelled' && !signal.aborted
    if (isTimeout) return Result.err({ ...result.error, outcome: 'timed-out', detail: `no answer in ${call.timeout} ms` })
    return result
  }

  onClose (listener: () => void): void {
    this.#listeners.push(listener)
  }

  close (): void {
    if (!this.#isOpen) return
    this.#isOpen = false
    for (const listener of this.#listeners) listener()
  }

  /** A call whose connection broke before it arrived never reaches the endpoint's next incarnation. */
  #serve (
    call: StageCall, onChunk: (chunk: StageChunk) => void, signal: AbortSignal
  ): Promise<Result<StageAnswer, CallError>> {
    if (!this.#isOpen) return Promise.resolve(Result.err({ outcome: 'cut', detail: 'the connection was cut' }))
    return this.#endpoint.serve(call, onChunk, signal, this.#instance)
  }
}

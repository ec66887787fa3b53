import { millis } from '@papayahill/common'
import type { Clock, EndpointId, InstanceId, Millis } from '@papayahill/common'
import type { InstanceList, InstanceListing, ListedEndpoint, ListedInstance, StoreError } from '@papayahill/stores'
import { Result } from 'true-myth'

interface Snapshot {
  readonly at: Millis
  readonly listing: InstanceListing
}

const EMPTY: InstanceListing = { endpoints: [], instances: [] }

/**
 * The platform's list of endpoints and instances; it answers with the state of `lag` ago.
 *
 * @example
 * list.setEndpoint({ ...endpoint, state: 'leaving' })
 */
export class FakeInstanceList implements InstanceList {
  lag = millis(500)
  isDown = false
  /** Answers with an empty list, as a failing platform may. */
  isEmpty = false
  readonly #clock: Clock
  #history: Snapshot[] = []
  readonly #endpoints = new Map<EndpointId, ListedEndpoint>()
  readonly #instances = new Map<InstanceId, ListedInstance>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  setEndpoint (endpoint: ListedEndpoint): void {
    this.#endpoints.set(endpoint.id, endpoint)
    this.#record()
  }

  removeEndpoint (id: EndpointId): void {
    this.#endpoints.delete(id)
    this.#record()
  }

  setInstance (instance: ListedInstance): void {
    this.#instances.set(instance.id, instance)
    this.#record()
  }

  removeInstance (id: InstanceId): void {
    this.#instances.delete(id)
    this.#record()
  }

  /** The list without lag, for use by other stand-ins. */
  current (): InstanceListing {
    return { endpoints: [...this.#endpoints.values()], instances: [...this.#instances.values()] }
  }

  async list (): Promise<Result<InstanceListing, StoreError>> {
    await this.#clock.sleep(millis(1))
    if (this.isDown) return Result.err({ kind: 'unavailable', detail: 'the instance list is down' })
    if (this.isEmpty) return Result.ok(EMPTY)
    return Result.ok(this.#listingAt(millis(this.#clock.now() - this.lag)))
  }

  #record (): void {
    const oldest = this.#clock.now() - this.lag
    const firstNeeded = this.#history.findLastIndex((snapshot) => snapshot.at <= oldest)
    if (firstNeeded > 0) this.#history = this.#history.slice(firstNeeded)
    this.#history.push({ at: this.#clock.now(), listing: this.current() })
  }

  #listingAt (time: Millis): InstanceListing {
    const shown = this.#history.findLast((snapshot) => snapshot.at <= time) ?? this.#history[0]
    return shown?.listing ?? EMPTY
  }
}

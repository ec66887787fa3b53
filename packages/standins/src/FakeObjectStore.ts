import { millis } from '@papayahill/common'
import type { Clock, Json } from '@papayahill/common'
import type { ObjectStore, StoreError } from '@papayahill/stores'
import { Result } from 'true-myth'
import { noStoreFaults } from './FakeTable.js'
import type { StoreFaults } from './FakeTable.js'

const DOWN: StoreError = { kind: 'unavailable', detail: 'the object store is down' }

/** An object store in memory, with injected faults. */
export class FakeObjectStore implements ObjectStore {
  readonly faults: StoreFaults = noStoreFaults()
  readonly #clock: Clock
  readonly #objects = new Map<string, Json>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  async get (name: string): Promise<Result<Json | undefined, StoreError>> {
    await this.#clock.sleep(millis(this.faults.latency))
    if (this.faults.isDown) return Result.err(DOWN)
    return Result.ok(this.#objects.get(name))
  }

  async put (name: string, value: Json): Promise<Result<void, StoreError>> {
    await this.#clock.sleep(millis(this.faults.latency))
    if (this.faults.isDown) return Result.err(DOWN)
    this.#objects.set(name, value)
    return Result.ok(undefined)
  }
}

import { brand, millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import { compareLeases } from './leaseRecord.js'
import type { DatedLease } from './leaseRecord.js'
import type { FencingToken } from './types.js'

/** The newest lease that an instance knows of, and when it heard of it by its own steady clock. */
export interface SeenLease extends DatedLease {
  readonly at: Millis
}

/** What an instance has heard of the lease, from others and from the store. */
export class LeaseView {
  readonly #clock: Clock
  #seen: SeenLease | undefined
  #highestToken = brand<FencingToken>(0)

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get seen (): SeenLease | undefined {
    return this.#seen
  }

  /** The highest token that this instance has heard of, also from eras that are over. */
  get highestToken (): FencingToken {
    return this.#highestToken
  }

  /** Time until others may take the lease; Infinity if nothing is known of it. */
  get remainingWait (): Millis {
    if (this.#seen === undefined) return millis(Infinity)
    return millis(Math.max(0, this.#seen.at + this.#seen.record.wait - this.#clock.now()))
  }

  /** Records a lease that another instance told; returns whether it is newer than the known one. */
  hear (lease: DatedLease): boolean {
    if (this.#seen !== undefined && compareLeases(lease, this.#seen) <= 0) return false
    this.#replace(lease)
    return true
  }

  /**
   * Records what the store holds, also if it is older than the known lease, as after a restore. Returns whether it is the
   * known one, for which the wait has not begun anew.
   */
  read (lease: DatedLease): boolean {
    const { incarnation } = lease.record
    if (this.#seen !== undefined && compareLeases(lease, this.#seen) === 0 && incarnation === this.#seen.record.incarnation) return true
    this.#replace(lease)
    return false
  }

  #replace (lease: DatedLease): void {
    this.#seen = { ...lease, at: this.#clock.now() }
    this.#highestToken = brand<FencingToken>(Math.max(this.#highestToken, lease.record.token))
  }
}

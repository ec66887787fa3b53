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
  readonly #fullWait: Millis
  #seen: SeenLease | undefined
  #highestToken = brand<FencingToken>(0)

  /** `fullWait` is the wait that covers any lease that another instance may still hold. */
  constructor (clock: Clock, fullWait: Millis) {
    this.#clock = clock
    this.#fullWait = fullWait
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
   * Records what the store holds, also if it is older than the known lease, as after a restore; the wait begins anew unless it
   * is the known one. A release may be a restored one, after which others have taken the lease; it counts only if this
   * instance knows that it is newer than what it saw in the same era.
   */
  read (lease: DatedLease): void {
    const { era, record } = lease
    const seen = this.#seen
    const order = seen === undefined ? -1 : compareLeases(lease, seen)
    if (order === 0 && record.incarnation === seen?.record.incarnation) return
    const isSuccessor = order > 0 && era === seen?.era
    this.#replace(isSuccessor ? lease : { era, record: { ...record, wait: millis(Math.max(record.wait, this.#fullWait)) } })
  }

  #replace (lease: DatedLease): void {
    this.#seen = { ...lease, at: this.#clock.now() }
    this.#highestToken = brand<FencingToken>(Math.max(this.#highestToken, lease.record.token))
  }
}

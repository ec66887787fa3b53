import { millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import { RENEWAL_SHARE, TRANSIT_TIME } from './constants.js'
import type { ElapsedMark, ElapsedTime } from './ElapsedTime.js'
import type { DatedLease } from './leaseRecord.js'
import type { FencingToken } from './types.js'

/** A lease that this instance has written itself. */
export interface HeldLease extends DatedLease {
  readonly revision: number
  /** Start of the write, from which the validity counts. */
  readonly writtenAt: ElapsedMark
}

/** The lease while this instance holds it: how long it is valid, and until when permitted calls may be under way. */
export class LeaseHold {
  readonly #clock: Clock
  readonly #time: ElapsedTime
  readonly #leaseTime: Millis
  #held: HeldLease | undefined
  /** Steady time since which no other instance has acted. */
  #heldSince: Millis = millis(0)
  #busyUntil: Millis = millis(-Infinity)
  #quietUntil: Millis = millis(-Infinity)
  #lastToken: FencingToken | undefined

  constructor (clock: Clock, time: ElapsedTime, leaseTime: Millis) {
    this.#clock = clock
    this.#time = time
    this.#leaseTime = leaseTime
  }

  get current (): HeldLease | undefined {
    return this.#held
  }

  /** Time left in which this instance may act; 0 if it holds no valid lease. */
  get remaining (): Millis {
    if (this.#held === undefined) return millis(0)
    return millis(Math.max(0, this.#leaseTime - this.#time.since(this.#held.writtenAt)))
  }

  /** Time left until the lease is to be renewed. */
  get untilRenewal (): Millis {
    return millis(Math.max(0, this.remaining - this.#leaseTime * (1 - RENEWAL_SHARE)))
  }

  /** Time left in which bytes of permitted calls may still arrive. */
  get busy (): Millis {
    return millis(Math.max(0, this.#busyUntil + TRANSIT_TIME - this.#clock.now()))
  }

  /** How long this instance has been the only one that acts. */
  get heldFor (): Millis {
    return millis(this.#held === undefined ? 0 : this.#clock.now() - this.#heldSince)
  }

  /** Records that a write of this instance has succeeded. */
  confirm (held: HeldLease): void {
    const now = this.#clock.now()
    if (this.#held === undefined) this.#heldSince = now
    // Calls with the token before it may still be under way, and must not arrive after those with this one.
    if (held.record.token !== this.#lastToken) this.#quietUntil = millis(this.#busyUntil + TRANSIT_TIME)
    this.#lastToken = held.record.token
    this.#held = held
  }

  drop (): void {
    this.#held = undefined
  }

  /** The token if the lease is certain to last for another `span`. */
  permit (span: Millis): FencingToken | undefined {
    const now = this.#clock.now()
    if (this.#held === undefined || this.remaining <= span || now < this.#quietUntil) return undefined
    this.#busyUntil = millis(Math.max(this.#busyUntil, now + span))
    return this.#held.record.token
  }
}

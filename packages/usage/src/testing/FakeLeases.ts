import { byRendezvous, millis, seconds } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Millis, Random } from '@papayahill/common'
import type { FaultyDutyTable, FencingToken } from '@papayahill/duties'
import type { Reporter } from '@papayahill/reports'
import type { UsageLease } from '../types.js'

const LEASE = seconds(3)
/** Time after a lease's end at which the next instance takes over. */
const TAKEOVER = millis(800)
const CHECK_PERIOD = millis(100)
/** Longest time until an instance hears of a new holder. */
const NEWS_DELAY = millis(800)

/** One instance's view of the lease. */
export class FakeLease implements UsageLease {
  readonly #leases: FakeLeases
  readonly #self: Incarnation
  readonly #listeners: Array<() => void> = []
  holder: Reporter | undefined

  constructor (leases: FakeLeases, self: Incarnation) {
    this.#leases = leases
    this.#self = self
  }

  get isHeld (): boolean {
    return this.permit(millis(0)) !== undefined
  }

  permit (span: Millis): FencingToken | undefined {
    return this.#leases.permit(this.#self, span)
  }

  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** Tells this instance who holds the lease. */
  tell (holder: Reporter | undefined): void {
    if (this.holder?.incarnation === holder?.incarnation) return
    this.holder = holder
    for (const listener of this.#listeners) listener()
  }
}

interface Candidate {
  readonly reporter: Reporter
  readonly lease: FakeLease
}

/** The lease as all instances see it, without the protocol: it is renewed while its holder lives and the store can be reached. */
export class FakeLeases {
  readonly #clock: Clock
  readonly #random: Random
  readonly #store: FaultyDutyTable
  readonly #candidates = new Map<Incarnation, Candidate>()
  #holder: Reporter | undefined
  #token = 0
  #validUntil = millis(0)

  constructor (clock: Clock, random: Random, store: FaultyDutyTable) {
    this.#clock = clock
    this.#random = random
    this.#store = store
    clock.every(CHECK_PERIOD, () => this.#check())
  }

  get holder (): InstanceId | undefined {
    return this.#holder?.id
  }

  add (reporter: Reporter): FakeLease {
    const lease = new FakeLease(this, reporter.incarnation)
    this.#candidates.set(reporter.incarnation, { reporter, lease })
    this.#tellSoon({ reporter, lease })
    return lease
  }

  remove (incarnation: Incarnation): void {
    this.#candidates.delete(incarnation)
  }

  permit (incarnation: Incarnation, span: Millis): FencingToken | undefined {
    const isValid = this.#holder?.incarnation === incarnation && this.#clock.now() + span < this.#validUntil
    return isValid ? this.#token as FencingToken : undefined
  }

  #check (): void {
    const now = this.#clock.now()
    if (this.#store.isDown) {
      if (now > this.#validUntil) this.#change(undefined)
    } else if (this.#holder !== undefined && this.#candidates.has(this.#holder.incarnation) && now <= this.#validUntil) {
      this.#validUntil = millis(now + LEASE)
    } else if (now > this.#validUntil + TAKEOVER) {
      this.#takeOver(now)
    }
  }

  #takeOver (now: Millis): void {
    const candidates = [...this.#candidates.values()].map(({ reporter }) => reporter)
    const next = byRendezvous(`duties ${this.#token}`, candidates, ({ id }) => id)[0]
    this.#token++
    this.#validUntil = millis(now + LEASE)
    this.#change(next)
  }

  #change (holder: Reporter | undefined): void {
    if (this.#holder?.incarnation === holder?.incarnation) return
    this.#holder = holder
    for (const candidate of this.#candidates.values()) this.#tellSoon(candidate)
  }

  #tellSoon ({ reporter, lease }: Candidate): void {
    const delay = reporter.incarnation === this.#holder?.incarnation ? 0 : this.#random.next() * NEWS_DELAY
    this.#clock.after(millis(delay), () => lease.tell(this.#holder))
  }
}

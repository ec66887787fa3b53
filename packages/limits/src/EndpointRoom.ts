import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, InstanceId, Millis, Random } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import {
  CALL_TIME_WEIGHT, CONFIRM_INTERVALS, DEFAULT_CALL_TIME, IDLE_PLACE_TTL, LEASE_CALLS, LEASE_MARGIN_CALLS, MAX_LEASE, MAX_PLACE_BACKOFF,
  MAX_REJECTION_PAUSE, MAX_REPORT_AGE, MAX_UNCERTAIN_TIME, MIN_CONFIRM_PERIOD, MIN_LEASE, MIN_PLACE_BACKOFF, MIN_REJECTION_PAUSE
} from './constants.js'
import { PlaceAskers } from './PlaceAskers.js'
import { PlaceLeases } from './PlaceLeases.js'
import type { BorrowedPlace } from './PlaceLeases.js'
import type { PlaceLoan } from './placeMessages.js'
import type { CallEffect, RoomPart } from './types.js'

export interface EndpointRoomOptions {
  readonly clock: Clock
  readonly random: Random
  readonly endpoint: Endpoint
  /** Calls that this instance may have there at once, of those that all instances together may have. */
  readonly units: () => number
  /** Instances that share the endpoint. */
  readonly sharers: () => number
  /** Instances that may lend places, with the number of places that each has. */
  readonly lenders: () => ReadonlyMap<InstanceId, number>
  /** Asks another instance for a place; undefined if it lends none. */
  readonly ask: (lender: InstanceId) => Promise<PlaceLoan | undefined>
  readonly giveBack: (place: BorrowedPlace) => void
  /** Wakes one of this instance's requests that wait for a place; returns whether there was one. */
  readonly wakeOne: () => boolean
}

const MAX_LOAN_ID = 2 ** 31

/**
 * This instance's calls at one endpoint and, while it is brittle, the places that they may take: a share of its slots, which
 * it keeps while it may let fewer requests wait, and places borrowed from other instances. A rejection shrinks them at once to
 * the calls that were let in; they grow again by one at a time.
 */
export class EndpointRoom {
  readonly #options: EndpointRoomOptions
  /** Calls that were written and have not ended. */
  #calls = 0
  /** Times until which calls that ended without an answer may still take a place. */
  #uncertainUntil: Millis[] = []
  #callTime = DEFAULT_CALL_TIME
  /** Calls that were let in when one more was rejected, and how long no more are tried. */
  #learnt = Infinity
  #pause = MIN_REJECTION_PAUSE
  #pausedUntil = millis(-Infinity)
  /** When a call is next sent without a place, to learn whether the endpoint is still brittle. */
  #confirmAt: Millis | undefined
  /** Version of the limit of rejections that this is about. */
  #confirmedVersion: number | undefined
  readonly #leases = new PlaceLeases()
  readonly #askers: PlaceAskers
  /** Whether the next free place is for another instance, if one waits. */
  #isOthersTurn = true
  /** Times from which other instances may be asked again. */
  readonly #askableAt = new Map<InstanceId, Millis>()
  #isAsking = false

  constructor (options: EndpointRoomOptions) {
    this.#options = options
    this.#askers = new PlaceAskers(options.clock)
  }

  /** Whether one more call may be chosen to be sent. */
  canChoose (): boolean {
    const now = this.#options.clock.now()
    return this.canSend() && (!this.#options.endpoint.isBrittle || this.#takenOrChosen(now) < this.#places(now))
  }

  /** Whether a call that was chosen may be sent now. */
  canSend (): boolean {
    if (!this.#options.endpoint.isBrittle) return true
    const now = this.#options.clock.now()
    return !this.#isOverfull(now) && this.#taken(now) < this.#places(now)
  }

  /** Takes a place if there is one. */
  trySend (): boolean {
    if (!this.canSend()) return false
    this.#calls++
    this.#confirmAt = undefined
    return true
  }

  /** Records how a call ended that had a place. */
  callEnded (effect: CallEffect, took: Millis): void {
    const now = this.#options.clock.now()
    this.#calls = Math.max(0, this.#calls - 1)
    if (effect === 'rejected') this.#shrink(now)
    if (effect === 'unknown') this.#uncertainUntil.push(millis(now + Math.min(MAX_UNCERTAIN_TIME, this.#callTime)))
    if (effect === 'answered') {
      this.#callTime = millis(this.#callTime + CALL_TIME_WEIGHT * (took - this.#callTime))
      if (now >= this.#pausedUntil) this.#grow(now)
    }
    this.#placeFreed()
  }

  /** Time until a place may be free; 0 if that depends on calls in progress or on other instances. */
  availableIn (): Millis {
    if (!this.#options.endpoint.isBrittle || this.#calls > 0 || this.#isAsking) return millis(0)
    const now = this.#options.clock.now()
    if (this.#places(now) > 0) return millis(0)
    const pause = Math.max(0, this.#pausedUntil - now)
    const waits = [...this.#options.lenders().keys()].map((id) => Math.max(0, (this.#askableAt.get(id) ?? 0) - now))
    const askable = Math.min(this.#callTime, ...waits)
    return millis(Math.max(pause, this.#options.units() > 0 ? 0 : askable))
  }

  /** Whether another instance should be asked for a place now. */
  get wantsPlace (): boolean {
    const now = this.#options.clock.now()
    if (!this.#options.endpoint.isBrittle || this.#isAsking || now < this.#pausedUntil) return false
    return this.#taken(now) >= this.#places(now) && this.#askable(now).length > 0
  }

  /** Asks one of the other instances for a place in the background. */
  request (): void {
    if (!this.wantsPlace) return
    const askable = this.#askable(this.#options.clock.now())
    void this.#borrow(askable[this.#options.random.below(askable.length)]!)
  }

  /** Lends a free place, if there is one soon. */
  async lend (): Promise<PlaceLoan | undefined> {
    if (!this.#options.endpoint.isBrittle || this.#options.units() === 0) return undefined
    return this.#canLend ? this.#newLoan() : await this.#askers.wait()
  }

  /** A place that this instance lent is back. */
  returned (id: number): void {
    this.#leases.returned(id)
    this.#placeFreed()
  }

  get #canLend (): boolean {
    const now = this.#options.clock.now()
    return now >= this.#pausedUntil && this.#takenOrChosen(now) < this.#ownPlaces(now)
  }

  #newLoan (): PlaceLoan {
    const { clock, random } = this.#options
    const id = random.below(MAX_LOAN_ID)
    const lentFor = millis(Math.min(MAX_LEASE, Math.max(MIN_LEASE, LEASE_CALLS * this.#callTime)))
    this.#leases.lend(id, millis(clock.now() + lentFor))
    return { id, lentFor }
  }

  /** Gives a free place to a request of this instance or to another instance, in turns. */
  #placeFreed (): void {
    const isForOthers = this.#askers.size > 0 && this.#canLend
    if (isForOthers && this.#isOthersTurn) return this.#lendToFirst()
    this.#isOthersTurn = true
    if (this.#options.wakeOne()) return this.#returnLater()
    if (isForOthers) this.#lendToFirst()
    this.#returnIdle()
  }

  #lendToFirst (): void {
    this.#isOthersTurn = false
    this.#askers.serveFirst(this.#newLoan())
  }

  #returnLater (): void {
    this.#options.clock.after(IDLE_PLACE_TTL, () => this.#returnIdle())
  }

  /** Gives borrowed places back that no call uses. */
  #returnIdle (): void {
    const now = this.#options.clock.now()
    let idle = this.#leases.borrowedUntil(now, now) + Math.max(0, this.#ownPlaces(now)) - this.#takenOrChosen(now)
    while (idle-- > 0) {
      const place = this.#leases.takeBorrowed()
      if (place === undefined) return
      this.#options.giveBack(place)
    }
  }

  /** Calls per second that fit into the places, at least into an even share of all slots; Infinity unless the endpoint is brittle. */
  get perSecond (): number {
    const { endpoint, clock, sharers } = this.#options
    if (!endpoint.isBrittle) return Infinity
    const places = Math.max(this.#places(clock.now()), endpoint.record.slots / sharers())
    return places * MILLIS_PER_SECOND / this.#callTime
  }

  part (): RoomPart | undefined {
    const { endpoint, clock, units } = this.#options
    const perSecond = endpoint.rejectionLimit?.perSecond
    if (perSecond === undefined) return undefined
    const now = clock.now()
    return { rejectionsPerSecond: perSecond, units: units(), places: this.#places(now), taken: this.#taken(now) }
  }

  #taken (now: Millis): number {
    this.#uncertainUntil = this.#uncertainUntil.filter((until) => until > now)
    return this.#calls + this.#uncertainUntil.length
  }

  /** The same, with calls that wait for their connections. */
  #takenOrChosen (now: Millis): number {
    return Math.max(this.#taken(now), this.#options.endpoint.running)
  }

  #places (now: Millis): number {
    const borrowed = this.#leases.borrowedUntil(millis(now + LEASE_MARGIN_CALLS * this.#callTime), now)
    const places = Math.max(0, this.#ownPlaces(now)) + borrowed
    if (places === 0 && this.#options.units() === 0) return this.#mayConfirm(now) ? 1 : 0
    return Math.min(places, now < this.#pausedUntil ? this.#learnt : Math.max(1, this.#learnt))
  }

  /** Places of this instance's own part that are not lent; negative after the part has become smaller. */
  #ownPlaces (now: Millis): number {
    return this.#options.units() - this.#leases.lentAt(now)
  }

  #askable (now: Millis): readonly InstanceId[] {
    const hasMore = ([id, units]: readonly [InstanceId, number]): boolean => this.#leases.borrowedFrom(id) < units
    const lenders = [...this.#options.lenders()].filter(hasMore).map(([id]) => id)
    return lenders.filter((id) => (this.#askableAt.get(id) ?? 0) <= now)
  }

  async #borrow (lender: InstanceId): Promise<void> {
    const { clock, random, ask } = this.#options
    const askedAt = clock.now()
    this.#isAsking = true
    const loan = await ask(lender)
    this.#isAsking = false
    if (loan !== undefined) {
      this.#leases.borrow({ lender, id: loan.id, until: millis(askedAt + Math.min(MAX_LEASE, loan.lentFor)) })
      return this.#options.wakeOne() ? this.#returnLater() : this.#returnIdle()
    }
    const backoff = MIN_PLACE_BACKOFF + random.next() * (MAX_PLACE_BACKOFF - MIN_PLACE_BACKOFF)
    this.#askableAt.set(lender, millis(clock.now() + backoff))
  }

  /** Whether the last report shows requests that wait, which have the next free slots. */
  #isOverfull (now: Millis): boolean {
    const { load } = this.#options.endpoint
    return load !== undefined && load.waiting > 0 && now - load.at < MAX_REPORT_AGE
  }

  #shrink (now: Millis): void {
    this.#learnt = Math.min(this.#learnt, this.#taken(now))
    const isRepeated = now - this.#pausedUntil < this.#pause
    const longest = Math.max(MAX_REJECTION_PAUSE, this.#ownRejectionInterval)
    this.#pause = millis(isRepeated ? Math.min(longest, this.#pause * 2) : Math.max(MIN_REJECTION_PAUSE, this.#ownRejectionInterval))
    this.#pausedUntil = millis(now + this.#pause)
  }

  /** Time between two rejections of this instance with which all that have places stay below what the endpoint bears. */
  get #ownRejectionInterval (): Millis {
    const { endpoint: { record, rejectionLimit }, sharers } = this.#options
    const holders = Math.min(sharers(), record.slots)
    return millis(holders * MIN_REJECTION_PAUSE / (rejectionLimit?.perSecond ?? Infinity))
  }

  #grow (now: Millis): void {
    if (this.#learnt === Infinity) return
    this.#learnt++
    this.#pausedUntil = millis(now + this.#pause)
    if (this.#learnt >= this.#options.units()) this.#learnt = Infinity
  }

  /**
   * Without a place, an instance would never learn from an answer that the endpoint is no longer brittle. So all of them
   * together send few such calls, far below the rejections that it bears.
   */
  #mayConfirm (now: Millis): boolean {
    const { endpoint: { rejectionLimit }, sharers, random } = this.#options
    const interval = sharers() * MILLIS_PER_SECOND / (rejectionLimit?.perSecond ?? Infinity)
    const period = Math.max(MIN_CONFIRM_PERIOD, CONFIRM_INTERVALS * interval)
    if (this.#confirmedVersion !== rejectionLimit?.version) this.#confirmAt = undefined
    this.#confirmedVersion = rejectionLimit?.version
    this.#confirmAt ??= millis(now + period * (1 + random.next()))
    return now >= this.#confirmAt
  }
}

import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, Millis, Random } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import {
  CALL_TIME_WEIGHT, CONFIRM_INTERVALS, DEFAULT_CALL_TIME, MAX_REJECTION_PAUSE, MAX_REPORT_AGE, MAX_UNCERTAIN_TIME, MIN_CONFIRM_PERIOD,
  MIN_REJECTION_PAUSE
} from './constants.js'
import type { CallEffect, RoomPart } from './types.js'

export interface EndpointRoomOptions {
  readonly clock: Clock
  readonly random: Random
  readonly endpoint: Endpoint
  /** Calls that this instance may have there at once, of those that all instances together may have. */
  readonly units: () => number
  /** Instances that share the endpoint. */
  readonly sharers: () => number
}

/**
 * This instance's calls at one endpoint and, while it is brittle, the places that they may take: a share of its slots, which
 * it never gives up while it may let fewer wait. A rejection shrinks them at once to the calls that were let in; they grow
 * again by one at a time.
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

  constructor (options: EndpointRoomOptions) {
    this.#options = options
  }

  /** Whether one more call may be sent; `running` counts calls that may not be written yet. */
  canSend (running = 0): boolean {
    if (!this.#options.endpoint.isBrittle) return true
    const now = this.#options.clock.now()
    return !this.#isOverfull(now) && Math.max(this.#taken(now), running) < this.#places(now)
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
    if (effect !== 'answered') return
    this.#callTime = millis(this.#callTime + CALL_TIME_WEIGHT * (took - this.#callTime))
    if (now >= this.#pausedUntil) this.#grow(now)
  }

  /** Time until a place may be free; 0 if that depends on calls in progress. */
  availableIn (): Millis {
    if (!this.#options.endpoint.isBrittle || this.#calls > 0) return millis(0)
    const now = this.#options.clock.now()
    if (this.#places(now) > 0) return millis(0)
    return millis(Math.max(this.#pausedUntil - now, this.#options.units() > 0 ? 0 : this.#callTime))
  }

  /** Calls per second that fit into the places; Infinity unless the endpoint is brittle. */
  get perSecond (): number {
    const { endpoint, clock } = this.#options
    return endpoint.isBrittle ? this.#places(clock.now()) * MILLIS_PER_SECOND / this.#callTime : Infinity
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

  #places (now: Millis): number {
    const units = this.#options.units()
    if (units === 0) return this.#mayConfirm(now) ? 1 : 0
    return Math.min(units, now < this.#pausedUntil ? this.#learnt : Math.max(1, this.#learnt))
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
    this.#confirmAt ??= millis(now + period * (1 + random.next()))
    return now >= this.#confirmAt
  }
}

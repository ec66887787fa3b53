import { millis, BackoffPeriod } from '@papayahill/common'
import type { DomainId, EndpointId, Millis, ServiceId } from '@papayahill/common'
import { FAILURE_WEIGHT, MAX_SUSPICION, MIN_SUSPICION } from './constants.js'
import type { NamedLimit } from './NamedLimit.js'
import type { EndpointAddress, EndpointRecord } from './types.js'

/** Load of an endpoint, as reported in one of its answers. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes at the moment, 1 as usual; absent where its endpoint does not report it. */
  readonly slowdown?: number | undefined
  /** Calls of this instance in progress there when the answer arrived; absent where nothing counts them. */
  readonly own?: number | undefined
  readonly at: Millis
}

/** Identifies one incarnation of an endpoint. */
export const incarnationKeyOf = ({ startedAt, service, address: { ip, port } }: EndpointRecord): string =>
  `${startedAt ?? ''} ${service} ${ip}:${port}`

/** Called when an endpoint starts or stops being avoided; `avoidedFor` is undefined at the end. */
export type SuspicionListener = (endpoint: Endpoint, avoidedFor: Millis | undefined) => void

/** One incarnation of an endpoint, with what this instance observed of it. */
export class Endpoint {
  record: EndpointRecord
  /** Removed from the list or restarted. */
  isGone = false
  /** Announced in an answer that it is leaving; stays true for this incarnation, whatever the list shows. */
  isLeaving = false
  /** Monotonic time until which it is cold. */
  coldUntil: Millis = millis(0)
  load: ReportedLoad | undefined
  /** Limit of requests per second that it named, or withdrew. */
  limit: NamedLimit | undefined
  /** Rejections per second, for want of room, that it bears; named while it is brittle. */
  rejectionLimit: NamedLimit | undefined
  /** Calls of this instance in progress. */
  running = 0
  /** Kinds of limits that its answers named in an unreadable way; each is logged once. */
  readonly malformedLimits = new Set<string>()
  readonly #backoff = new BackoffPeriod()
  #suspectUntil: Millis = millis(0)
  #suspicion: Millis = MIN_SUSPICION
  #failShare = 0
  readonly #onSuspicion: SuspicionListener | undefined

  constructor (record: EndpointRecord, onSuspicion?: SuspicionListener) {
    this.record = record
    this.#onSuspicion = onSuspicion
  }

  get id (): EndpointId {
    return this.record.id
  }

  get service (): ServiceId {
    return this.record.service
  }

  get domain (): DomainId {
    return this.record.domain
  }

  get address (): EndpointAddress {
    return this.record.address
  }

  /** Identifies its incarnation. */
  get incarnation (): string {
    return incarnationKeyOf(this.record)
  }

  /** Can accept new work, by the list and its leaving notice. */
  get isListed (): boolean {
    return !this.isGone && !this.isLeaving && !this.record.isDraining
  }

  /** Exponentially weighted share of failures among its answers. */
  get failShare (): number {
    return this.#failShare
  }

  /** Monotonic time until which it asked for no requests; in the past if it never asked. */
  get backoffUntil (): Millis {
    return this.#backoff.until
  }

  /** Records that it asked for no requests for `span`; returns whether that extends the current backoff. */
  noteBackoff (now: Millis, span: Millis): boolean {
    return this.#backoff.begin(now, span)
  }

  /** Time until it accepts requests. */
  backoffLeft (now: Millis): Millis {
    return this.#backoff.remaining(now)
  }

  /** Whether it accepts requests, by the list and its own answers. */
  isAvailable (now: Millis): boolean {
    return this.isListed && this.#backoff.remaining(now) === 0
  }

  /** Whether one more request may be sent, by its own notices; checked again when the request is sent. */
  canAccept (now: Millis): boolean {
    return this.isListed && this.#backoff.canAccept(now, this.running)
  }

  /** Whether it said that it falls over when it has to reject too many requests. */
  get isBrittle (): boolean {
    return this.rejectionLimit?.perSecond !== undefined
  }

  isSuspect (now: Millis): boolean {
    return now < this.#suspectUntil
  }

  isCold (now: Millis): boolean {
    return now < this.coldUntil
  }

  /** Records a complete answer; `isGood` is false if it reported a failure. */
  noteAnswer (isGood: boolean, now: Millis): void {
    this.#failShare += FAILURE_WEIGHT * ((isGood ? 0 : 1) - this.#failShare)
    if (!isGood) return
    this.#backoff.recordSuccess(now)
    if (this.#suspectUntil > 0) this.#onSuspicion?.(this, undefined)
    this.#suspectUntil = millis(0)
    this.#suspicion = MIN_SUSPICION
  }

  /** Records a refused, broken or silent connection: the endpoint is avoided, with exponential backoff. */
  noteConnectionFailure (now: Millis): void {
    this.#failShare += FAILURE_WEIGHT * (1 - this.#failShare)
    if (this.isSuspect(now)) return
    this.#suspectUntil = millis(now + this.#suspicion)
    this.#onSuspicion?.(this, this.#suspicion)
    this.#suspicion = millis(Math.min(MAX_SUSPICION, this.#suspicion * 2))
  }

  /** Forgets the failures of its connections: this instance had lost its own paths, which says nothing about the endpoint. */
  forgetConnectionFailures (): void {
    this.#failShare = 0
    if (this.#suspectUntil > 0) this.#onSuspicion?.(this, undefined)
    this.#suspectUntil = millis(0)
    this.#suspicion = MIN_SUSPICION
  }
}

import { BackoffPeriod, hash32, millis } from '@papayahill/common'
import type { CallOutcome, EndpointIncarnation, Incarnation, Millis } from '@papayahill/common'
import type { ListedEndpoint } from '@papayahill/stores'
import { CallSet } from './CallSet.js'
import type { RunningCall } from './CallSet.js'
import { CallStats } from './CallStats.js'
import {
  BORROW_MAX_AGE, BORROW_SHARE, SUSPECT_FACTOR, SUSPECT_MIN, UNCERTAIN_CALL_SPAN, UNREPORTED_MAX_CONCURRENCY
} from './constants.js'
import { SlotLedger } from './SlotLedger.js'
import type { SlotUsage } from './SlotQueries.js'
import type { SlottedEndpoint } from './slots.js'
import type { EndpointConnection, LifecycleState, LoadReport, RosterIncarnation, RosterRecord } from './types.js'
import { WarmLimit } from './WarmLimit.js'

const HASH_RANGE = 2 ** 32
/** Load from which an endpoint counts as busy. */
const MIN_BUSY_LOAD = 0.7

/** Outcomes after which the endpoint may still be working on the call. */
const UNCERTAIN_OUTCOMES: ReadonlySet<CallOutcome> = new Set(['cut', 'timed-out', 'cancelled'])

/**
 * Effect of a report.
 *
 * - `taken`: the newest report of the known incarnation; it was applied.
 * - `old`: no newer than the applied one, or there is no connection; ignored.
 * - `other-life`: of another incarnation, but pushed, or requested before the connection opened; ignored, as it may be outdated.
 * - `silent-restart`: requested on this connection and of another incarnation; the endpoint restarted without closing it.
 */
export type ReportEffect = 'taken' | 'old' | 'other-life' | 'silent-restart'

/**
 * State of one endpoint as known to one instance, and its calls there. The known incarnation is bound to the
 * connection: without a connection nothing is known, and a new connection starts cold.
 */
export class EndpointEntry {
  listed: ListedEndpoint
  isUnlisted = false
  isOut = false
  isEjected = false
  areReportsMissing = false
  /** Maximum calls while the endpoint is on probation after an ejection; Infinity otherwise. */
  probation = Infinity
  /** Instances that are likely to share the endpoint. */
  sharers = 1
  /** Mean time of a call of the service, to detect overdue calls; 0 while unknown. */
  typicalCall = millis(0)
  readonly stats = new CallStats()
  /** The time for which the endpoint asked for no calls. */
  readonly backoff = new BackoffPeriod()
  readonly warmLimit = new WarmLimit()
  readonly #self: Incarnation
  /** Hash in [0, 1) that decides whether a fractional slot is rounded up at this instance. */
  readonly #roundingOffset: number
  readonly #calls = new CallSet()
  #connection: EndpointConnection | undefined
  #incarnation: EndpointIncarnation | undefined
  /** Never reset for the same incarnation: a leaving incarnation does not return, whatever a stale list shows. */
  #leavingIncarnation: EndpointIncarnation | undefined
  #openedAt = millis(-Infinity)
  #report: LoadReport | undefined
  #reportAskedAt = millis(-Infinity)
  #olderIncarnationSeenAt = millis(-Infinity)
  /** Incarnation and time of the newest polled report, a lower bound for the start of the next incarnation. */
  #lastPolled: { readonly incarnation: EndpointIncarnation, readonly at: Millis } | undefined
  #checkedAt = millis(-Infinity)
  #suspendedAt = millis(-Infinity)
  #ledger: SlotLedger | undefined

  constructor (self: Incarnation, listed: ListedEndpoint) {
    this.#self = self
    this.listed = listed
    this.#roundingOffset = hash32(`${listed.id} ${self}`) / HASH_RANGE
  }

  get connection (): EndpointConnection | undefined {
    return this.#connection?.isOpen === true ? this.#connection : undefined
  }

  get incarnation (): EndpointIncarnation | undefined {
    return this.#incarnation
  }

  get report (): LoadReport | undefined {
    return this.#report
  }

  get reportAskedAt (): Millis {
    return this.#reportAskedAt
  }

  /** Slots of the current incarnation while it is cold; undefined before the first connection. */
  get ledger (): SlotLedger | undefined {
    return this.#ledger
  }

  /** When an earlier incarnation than the current one was last seen. */
  get olderIncarnationSeenAt (): Millis {
    return this.#olderIncarnationSeenAt
  }

  get busy (): number {
    return this.#calls.size
  }

  get isLeaving (): boolean {
    if (this.listed.state === 'leaving') return true
    return this.#leavingIncarnation !== undefined && (this.#incarnation === undefined || this.#incarnation === this.#leavingIncarnation)
  }

  get state (): LifecycleState {
    if (this.isOut) return 'out'
    if (this.isLeaving || this.isUnlisted) return 'leaving'
    if (this.connection === undefined || this.#report === undefined) return 'starting'
    if (this.isEjected) return 'ejected'
    return this.#report.isWarm && !this.areReportsMissing ? 'warm' : 'cold'
  }

  /** Maximum concurrent calls of the cold endpoint, by its own reports. */
  get coldMaxConcurrency (): number {
    if (this.#report === undefined) return 0
    return this.areReportsMissing ? Math.min(UNREPORTED_MAX_CONCURRENCY, this.#report.bears) : this.#report.bears
  }

  /** A connection was opened: earlier reports, statistics, limits and an ejection are discarded. */
  connected (connection: EndpointConnection, now: Millis): void {
    this.#connection = connection
    this.#openedAt = now
    this.#setIncarnation(connection.incarnation)
  }

  /** The connection was lost: the endpoint may have restarted, so its state is unknown. */
  disconnected (): void {
    this.#connection = undefined
    this.#incarnation = undefined
    this.#report = undefined
  }

  /** Marks the current incarnation as leaving: it gets no new work. */
  markLeaving (): void {
    this.#leavingIncarnation = this.#incarnation
  }

  /** Applies a report; `askedAt` is undefined if the endpoint pushed it. */
  receive (report: LoadReport, askedAt: Millis | undefined, instances: readonly RosterIncarnation[]): ReportEffect {
    if (this.connection === undefined) return 'old'
    if (report.incarnation !== this.#incarnation) return this.#receiveOtherIncarnation(report, askedAt, instances)
    if (this.#report !== undefined && report.sequence <= this.#report.sequence) return 'old'
    this.#applyReport(report, askedAt)
    return 'taken'
  }

  /** Updates the slots of a cold endpoint to the roster; a warm endpoint needs none. */
  updateLedger (record: RosterRecord, seenAt: Millis): void {
    if (this.#ledger === undefined || this.state === 'warm') return
    this.#ledger.update(record, seenAt, this.coldMaxConcurrency)
  }

  /** Calls that this instance may run here now, those in progress included. */
  limit (now: Millis): number {
    const state = this.state
    if (state === 'cold') return Math.min(this.probation, this.#ledger?.clear ?? 0)
    if (state === 'warm') return Math.min(this.probation, this.#warmShare(now))
    return 0
  }

  /** Allows no new work until a report that is requested after `now` arrives. */
  suspendUntilReport (now: Millis): void {
    this.#suspendedAt = now
  }

  hasCapacity (now: Millis): boolean {
    if (this.#suspendedAt > this.#reportAskedAt) return false
    if (this.busy >= this.probation || this.isSuspect(now) || !this.backoff.canAccept(now, this.busy)) return false
    const state = this.state
    if (state === 'cold') return this.#calls.countOtherIncarnations(this.#incarnation) === 0 && (this.#ledger?.hasFreeSlot() ?? false)
    return state === 'warm' && this.busy < this.#warmShare(now)
  }

  /** Starts a call; undefined if there is no capacity. The caller must check that the roster copy is recent. */
  startCall (now: Millis): RunningCall | undefined {
    if (!this.hasCapacity(now)) return undefined
    return this.state === 'cold' ? this.#startOnSlot(now) : this.#addCall({ startedAt: now, incarnation: this.#incarnation! })
  }

  /** Ends a call; if the endpoint may still be working on it, its slot stays occupied for {@link UNCERTAIN_CALL_SPAN}. */
  endCall (call: RunningCall, outcome: CallOutcome, now: Millis): void {
    if (outcome === 'done') this.backoff.recordSuccess(now)
    if (!this.#calls.delete(call) || call.slot === undefined) return
    const { ledger, index } = call.slot
    if (UNCERTAIN_OUTCOMES.has(outcome)) ledger.freeAt(index, millis(now + UNCERTAIN_CALL_SPAN))
    else ledger.free(index)
  }

  /** Whether a call has run so long that the endpoint may have restarted cold; a later report clears this. */
  isSuspect (now: Millis): boolean {
    const oldest = this.#calls.oldest
    if (oldest === undefined || this.typicalCall === 0) return false
    const since = Math.max(oldest.startedAt, this.#checkedAt)
    return now - since > Math.max(SUSPECT_MIN, SUSPECT_FACTOR * this.typicalCall)
  }

  /** How long the oldest call has run; 0 without calls. */
  oldestAge (now: Millis): Millis {
    const oldest = this.#calls.oldest
    return millis(oldest === undefined ? 0 : now - oldest.startedAt)
  }

  /** Share of the capacity for all instances that is in use, from reports and own calls. */
  load (): number {
    const running = (this.#report?.running ?? 0) + (this.#report?.queued ?? 0) + this.#calls.startedSinceReport
    const maxConcurrency = this.state === 'warm' ? this.warmLimit.value : this.coldMaxConcurrency
    return maxConcurrency === 0 ? Infinity : running / maxConcurrency
  }

  isBusy (): boolean {
    return this.load() >= MIN_BUSY_LOAD
  }

  /** Whether a cold endpoint has more calls than its capacity; only calls of an earlier incarnation can cause this. */
  isOverCapacity (): boolean {
    if (this.#report === undefined || this.#report.isWarm) return false
    return this.#report.running + this.#report.queued > this.#report.bears
  }

  /** Maximum number of other instances' calls in a report: all but this instance's calls that are certainly included. */
  maxCallsOfOthers (report: LoadReport, askedAt: Millis): number {
    return report.running + report.queued - this.#calls.countCertainlyIn(askedAt)
  }

  slotUsage (endpoint: SlottedEndpoint, version: number): SlotUsage {
    const isSame = this.#ledger?.endpoint.incarnation === endpoint.incarnation
    return {
      version,
      busy: isSame ? this.#ledger!.busy : [],
      olderCalls: this.#calls.countOtherIncarnations(endpoint.incarnation),
      knownIncarnation: this.#incarnation
    }
  }

  #receiveOtherIncarnation (report: LoadReport, askedAt: Millis | undefined, instances: readonly RosterIncarnation[]): ReportEffect {
    if (askedAt === undefined || askedAt < this.#openedAt) return 'other-life'
    this.#setIncarnation(report.incarnation, instances)
    this.#applyReport(report, askedAt)
    return 'silent-restart'
  }

  #setIncarnation (incarnation: EndpointIncarnation, inheritedFrom: readonly RosterIncarnation[] = []): void {
    if (this.#lastPolled !== undefined && this.#lastPolled.incarnation !== incarnation) this.#olderIncarnationSeenAt = this.#lastPolled.at
    if (incarnation !== this.#leavingIncarnation) this.#leavingIncarnation = undefined
    this.#incarnation = incarnation
    this.#report = undefined
    this.#reportAskedAt = millis(-Infinity)
    this.areReportsMissing = false
    this.isEjected = false
    this.stats.clear()
    this.warmLimit.clear()
    this.#ledger = this.#ledgerOf(incarnation, inheritedFrom)
  }

  /** A connection lost within one incarnation changes neither the slots nor the calls on them, so the ledger is kept. */
  #ledgerOf (incarnation: EndpointIncarnation, inheritedFrom: readonly RosterIncarnation[]): SlotLedger {
    if (this.#ledger?.endpoint.incarnation === incarnation) return this.#ledger
    return new SlotLedger({ self: this.#self, endpoint: { id: this.listed.id, incarnation }, inheritedFrom })
  }

  #applyReport (report: LoadReport, askedAt: Millis | undefined): void {
    this.#report = report
    this.areReportsMissing = false
    this.warmLimit.setMax(report.bearsWarm)
    if (askedAt === undefined) return
    this.#reportAskedAt = askedAt
    this.#checkedAt = askedAt
    this.#lastPolled = { incarnation: report.incarnation, at: askedAt }
    this.#calls.noteReport(askedAt)
    this.#ledger?.clearByReport(askedAt, this.maxCallsOfOthers(report, askedAt))
  }

  #startOnSlot (now: Millis): RunningCall | undefined {
    const ledger = this.#ledger
    const index = ledger?.take()
    if (ledger === undefined || index === undefined) return undefined
    return this.#addCall({ startedAt: now, incarnation: ledger.endpoint.incarnation, slot: { ledger, index } })
  }

  #addCall (call: RunningCall): RunningCall {
    this.#calls.add(call)
    return call
  }

  /** This instance's share of the warm limit, plus what it may borrow if the report is recent. */
  #warmShare (now: Millis): number {
    const total = this.warmLimit.value
    const owned = Math.floor(total / this.sharers + this.#roundingOffset)
    if (this.#report === undefined || now - this.#reportAskedAt > BORROW_MAX_AGE) return owned
    const free = total - this.#report.running - this.#report.queued
    const borrowed = Math.floor(Math.max(0, free) * Math.min(1, BORROW_SHARE / Math.sqrt(this.sharers)))
    return Math.max(owned, this.busy - this.#calls.startedSinceReport + borrowed)
  }
}

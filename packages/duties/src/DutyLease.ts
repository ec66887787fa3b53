import { millis } from '@papayahill/common'
import type { Clock, EventLog, Millis, Random, Timer } from '@papayahill/common'
import { LEASE_TIME, MAX_CLOCK_DRIFT, RETRY_PERIOD, TRANSIT_TIME } from './constants.js'
import type { ElapsedClock } from './ElapsedClock.js'
import { ElapsedTime } from './ElapsedTime.js'
import { DUTIES_EVENTS } from './events.js'
import { LeaseChanges } from './LeaseChanges.js'
import { LeaseGossip } from './LeaseGossip.js'
import type { LeaseGossipOptions } from './LeaseGossip.js'
import { LeaseHold } from './LeaseHold.js'
import { LeasePlan } from './LeasePlan.js'
import type { DatedLease } from './leaseRecord.js'
import { LeaseRow } from './LeaseRow.js'
import { LeaseView } from './LeaseView.js'
import { LeaseWriter } from './LeaseWriter.js'
import type { DutyTable, FencingToken, LeaseChange, LeaseHolder, LeaseStatus, LeaseTerms } from './types.js'

export interface DutyLeaseOptions extends Omit<LeaseGossipOptions, 'view'> {
  readonly clock: Clock
  readonly elapsed: ElapsedClock
  readonly random: Random
  readonly table: DutyTable
  readonly log: EventLog
  readonly terms?: Partial<LeaseTerms>
}

/**
 * The lease of all duties of a deployment. At most one instance holds it at a time; only the holder may act, with a fencing
 * token that increases with each change of the holder.
 *
 * @example
 * const lease = new DutyLease({ self, incarnation, clock, elapsed, random, table, peers, log })
 * lease.start()
 * const token = lease.permit(millis(500)) // right before the first byte of a call is written
 */
export class DutyLease {
  readonly #options: DutyLeaseOptions
  readonly #view: LeaseView
  readonly #hold: LeaseHold
  readonly #row: LeaseRow
  readonly #gossip: LeaseGossip
  readonly #writer: LeaseWriter
  readonly #plan: LeasePlan
  readonly #changes = new LeaseChanges()
  #working: Promise<void> | undefined
  #stopped: Promise<void> | undefined
  #timer: Timer | undefined
  #expiryTimer: Timer | undefined
  #isStarted = false
  #takes = 0
  #renewals = 0
  #failures = 0

  constructor (options: DutyLeaseOptions) {
    const { self, incarnation, clock, random, elapsed, table, log, terms: { leaseTime = LEASE_TIME } = {} } = options
    const time = new ElapsedTime(clock, elapsed)
    const wait = millis(leaseTime * (1 + MAX_CLOCK_DRIFT) + TRANSIT_TIME)
    this.#options = options
    const view = this.#view = new LeaseView(clock, wait)
    const hold = this.#hold = new LeaseHold(clock, time, leaseTime)
    const row = this.#row = new LeaseRow(table, clock, wait)
    const gossip = this.#gossip = new LeaseGossip({ ...options, view })
    const writer = this.#writer = new LeaseWriter({ self, incarnation, clock, time, row, view, hold, wait, log })
    this.#plan = new LeasePlan({ clock, random, view, hold, gossip, writer })
  }

  /** The holder as far as this instance knows; undefined if there is none, or if it has not renewed the lease in time. */
  get holder (): LeaseHolder | undefined {
    const { seen } = this.#view
    if (this.isHeld) return { id: this.#options.self, incarnation: this.#options.incarnation }
    if (seen === undefined || seen.record.isReleased || seen.record.holder === '' || this.#view.remainingWait === 0) return undefined
    const { holder: id, incarnation } = seen.record
    return incarnation === this.#options.incarnation ? undefined : { id, incarnation }
  }

  get isHeld (): boolean {
    return this.#stopped === undefined && this.#hold.remaining > 0
  }

  start (): void {
    this.#isStarted = true
    this.#plan.start()
    this.#gossip.start((lease) => this.#hear(lease))
    this.#schedule()
  }

  /** Hands the lease over once permitted calls have ended, and leaves it to others from now on. */
  stop (): Promise<void> {
    this.#stopped ??= this.#stop()
    return this.#stopped
  }

  /**
   * The token if the lease is certain to last for another `span`; undefined if the call must not be sent. To be called right
   * before the first byte is written. The call must end within `span`, by a reset of its connection if need be.
   */
  permit (span: Millis): FencingToken | undefined {
    return this.#stopped === undefined ? this.#hold.permit(span) : undefined
  }

  /** Calls the listener whenever another instance holds the lease, or this one takes or loses it. */
  onChange (listener: (change: LeaseChange) => void): void {
    this.#changes.add(listener)
  }

  status (): LeaseStatus {
    const { seen } = this.#view
    return {
      isHeld: this.isHeld,
      holder: this.holder,
      token: seen?.record.token,
      era: seen?.era,
      renewal: seen?.record.renewal,
      remaining: this.#hold.remaining,
      rank: this.#gossip.rank,
      takes: this.#takes,
      renewals: this.#renewals,
      failures: this.#failures,
      storeCalls: this.#row.calls
    }
  }

  async #stop (): Promise<void> {
    const { clock, log } = this.#options
    this.#timer?.cancel()
    this.#notify()
    await this.#working
    this.#expiryTimer?.cancel()
    const held = this.#hold.current
    if (held === undefined) return
    await clock.sleep(this.#hold.busy)
    const isReleased = await this.#writer.release(held)
    this.#hold.drop()
    if (isReleased) this.#gossip.tell()
    log.emit(isReleased ? DUTIES_EVENTS.leaseReleased : DUTIES_EVENTS.releaseFailed, { token: held.record.token })
  }

  #hear ({ record: { token } }: DatedLease): void {
    const held = this.#hold.current
    if (held !== undefined && token > held.record.token) this.#drop('leaseLost')
    this.#notify()
    if (this.#hold.current !== undefined) return
    this.#plan.endBackoff()
    this.#schedule()
  }

  /** Plans the next store call, of the holder or of a candidate. */
  #schedule (): void {
    if (!this.#isStarted || this.#stopped !== undefined || this.#working !== undefined) return
    const { delay, isDue } = this.#plan.next()
    this.#timer?.cancel()
    this.#timer = this.#options.clock.after(delay, () => isDue ? this.#begin() : this.#schedule())
  }

  #begin (): void {
    this.#working = this.#work().finally(() => {
      this.#working = undefined
      this.#notify()
      this.#schedule()
    })
  }

  async #work (): Promise<void> {
    const held = this.#hold.current
    if (held === undefined) return await this.#contend()
    const outcome = await this.#writer.renew(held)
    if (outcome === 'renewed') return this.#renewed()
    if (outcome === 'lost') return this.#drop('leaseLost')
    this.#failures++
    this.#plan.retryAfter(RETRY_PERIOD)
  }

  async #contend (): Promise<void> {
    const outcome = await this.#writer.take()
    if (outcome === 'taken') return this.#taken()
    if (outcome === 'heard') return this.#gossip.publish()
    this.#failures++
    if (outcome === 'unreachable') this.#plan.backOff()
    else this.#plan.retryAfter(RETRY_PERIOD)
  }

  #taken (): void {
    const { era, record: { token, before } } = this.#hold.current!
    this.#takes++
    this.#options.log.emit(DUTIES_EVENTS.leaseTaken, { token, before, era })
    this.#gossip.tell()
    this.#expireLater()
  }

  #renewed (): void {
    this.#renewals++
    this.#gossip.publishRenewal()
    this.#expireLater()
  }

  #expireLater (): void {
    this.#expiryTimer?.cancel()
    this.#expiryTimer = this.#options.clock.after(millis(Math.ceil(this.#hold.remaining)), () => {
      if (this.#hold.remaining > 0) return this.#expireLater()
      this.#drop('leaseExpired')
      this.#notify()
    })
  }

  #drop (event: 'leaseLost' | 'leaseExpired'): void {
    const held = this.#hold.current
    if (held === undefined) return
    this.#hold.drop()
    this.#options.log.emit(DUTIES_EVENTS[event], { token: held.record.token, holder: this.holder?.id })
  }

  #notify (): void {
    this.#changes.tell(this, this.#hold.current?.record.token)
  }
}

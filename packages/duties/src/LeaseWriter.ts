import { millis } from '@papayahill/common'
import type { Clock, EventLog, Incarnation, InstanceId, Millis } from '@papayahill/common'
import type { TableError } from '@papayahill/directory'
import { MAX_RELEASE_TRIES, RETRY_PERIOD } from './constants.js'
import type { ElapsedTime } from './ElapsedTime.js'
import { DUTIES_EVENTS } from './events.js'
import type { HeldLease, LeaseHold } from './LeaseHold.js'
import { nextToken } from './leaseRecord.js'
import type { LeasePosition, LeaseRecord } from './leaseRecord.js'
import type { LeaseRow, ReadLease } from './LeaseRow.js'
import type { LeaseView } from './LeaseView.js'

type Written = 'written' | 'unknown' | 'conflict'

/**
 * What became of a try to take the lease.
 * - `heard`: the store holds a record whose wait is not over.
 * - `unknown`: the write had no answer, and may still be applied.
 */
export type TakeOutcome = 'taken' | 'heard' | 'unknown' | 'conflict' | 'unreachable'

export type RenewOutcome = 'renewed' | 'lost' | 'failed'

export interface LeaseWriterOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly time: ElapsedTime
  readonly row: LeaseRow
  readonly view: LeaseView
  readonly hold: LeaseHold
  /** How long others wait after a renewal. */
  readonly wait: Millis
  readonly log: EventLog
}

/** Takes, renews and releases the lease in the store. */
export class LeaseWriter {
  readonly #options: LeaseWriterOptions
  /** Era in which this instance last wrote, or tried to. */
  #era: number | undefined

  constructor (options: LeaseWriterOptions) {
    this.#options = options
  }

  /** Whether a record is this instance's own and nobody has held the lease since. */
  isOwn ({ record, era }: Pick<ReadLease, 'record' | 'era'>): boolean {
    const { incarnation, view } = this.#options
    return record.incarnation === incarnation && !record.isReleased && era === this.#era && record.token >= view.highestToken
  }

  /** Takes the lease if the store holds the record whose wait is over, or one of this instance that had no answer. */
  async take (): Promise<TakeOutcome> {
    const { view } = this.#options
    const read = await this.#read('take')
    if (read === undefined || read.era < (view.seen?.era ?? 0)) return 'unreachable'
    view.read(read)
    if (!this.isOwn(read) && view.remainingWait > 0) return 'heard'
    const written = await this.#write(this.#takenRecord(read), read)
    return written === 'written' ? 'taken' : written
  }

  /** Writes the next renewal; after a conflict, reads what the store holds. */
  async renew (held: HeldLease): Promise<RenewOutcome> {
    if (this.#options.view.highestToken > held.record.token) return 'lost'
    const written = await this.#write({ ...held.record, renewal: held.record.renewal + 1 }, held)
    if (written === 'conflict') return await this.#reconcile(held)
    return written === 'written' ? 'renewed' : 'failed'
  }

  /** Writes that the lease is handed over; returns whether the store has it. */
  async release (held: HeldLease): Promise<boolean> {
    const { hold, wait, clock } = this.#options
    const released = { ...held.record, isReleased: true, wait: millis(Math.max(0, wait - hold.heldFor)) }
    let position: ReadLease | HeldLease | undefined = held
    for (let tries = 0; position !== undefined && tries < MAX_RELEASE_TRIES; tries++) {
      if (await this.#write({ ...released, renewal: position.record.renewal + 1 }, position) === 'written') return true
      // Others take an expired lease by themselves.
      if (hold.remaining === 0) return false
      await clock.sleep(RETRY_PERIOD)
      const read = await this.#read('release')
      if (read !== undefined && this.#isReleased(read)) return true
      if (read !== undefined) position = this.isOwn(read) ? read : undefined
    }
    return false
  }

  /** Whether the store holds this instance's release, whose answer was lost. */
  #isReleased (read: ReadLease): boolean {
    const { incarnation, view } = this.#options
    if (read.record.incarnation !== incarnation || !read.record.isReleased) return false
    view.read(read)
    return true
  }

  /** The holder's condition failed: its own write had no answer, the store was restored, or another instance has the lease. */
  async #reconcile (held: HeldLease): Promise<RenewOutcome> {
    const { hold, view, log } = this.#options
    const read = await this.#read('renew')
    if (read === undefined) return 'failed'
    if (this.isOwn(read)) {
      const written = await this.#write({ ...read.record, renewal: read.record.renewal + 1 }, read)
      return written === 'written' ? 'renewed' : 'failed'
    }
    const isOlder = read.era > held.era || read.record.token < held.record.token
    if (!isOlder || hold.remaining === 0) {
      view.read(read)
      return 'lost'
    }
    // Nobody else can have acted since, as a candidate that reads the restored row begins its wait anew.
    const written = await this.#write(this.#takenRecord(read), read)
    if (written === 'written') log.emit(DUTIES_EVENTS.leaseReclaimed, { token: hold.current?.record.token, era: read.era })
    return written === 'written' ? 'renewed' : 'failed'
  }

  #takenRecord (read: ReadLease): LeaseRecord {
    const { record } = read
    const { self, incarnation, wait, view } = this.#options
    return {
      holder: self,
      incarnation,
      token: nextToken(read, record.token, view.highestToken),
      renewal: record.renewal + 1,
      before: record.incarnation === incarnation ? record.before : record.holder,
      isReleased: false,
      wait
    }
  }

  async #write (record: LeaseRecord, { era, revision }: LeasePosition): Promise<Written> {
    const { time, row, hold, view } = this.#options
    const writtenAt = time.mark()
    this.#era = era
    const result = await row.write(record, { era, revision })
    if (result.isErr) return this.#unanswered('write', result.error)
    // A higher token that was heard of meanwhile means that the store was restored and another instance has acted since.
    if (result.value.kind === 'conflict' || view.highestToken > record.token) return 'conflict'
    hold.confirm({ era, record, revision: result.value.revision, writtenAt })
    view.hear({ era, record })
    return 'written'
  }

  async #read (step: string): Promise<ReadLease | undefined> {
    const { row, log } = this.#options
    const result = await row.read()
    if (result.isErr) {
      this.#unanswered(step, result.error)
      return undefined
    }
    if (result.value.isUnreadable) log.emit(DUTIES_EVENTS.leaseUnreadable, { revision: result.value.revision })
    return result.value
  }

  #unanswered (step: string, { kind, detail }: TableError): 'unknown' {
    this.#options.log.emit(DUTIES_EVENTS.leaseUnreachable, { step, kind, detail })
    return 'unknown'
  }
}

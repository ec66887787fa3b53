import { millis } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, Json, Millis, Random } from '@papayahill/common'
import type { Result } from 'true-myth'
import {
  ANSWER_LIMIT, LOOK_SPREAD, MAX_SHARED_RETRY, MAX_WATCH_RETRY, ROLE_DELAY, ROLE_PERIOD, STATUS_GAIN, STATUS_LIMIT, STATUS_PERIOD,
  WATCH_PACE, WATCH_WAIT
} from './constants.js'
import { DIRECTORY_EVENTS } from './events.js'
import { TableCopy } from './TableCopy.js'
import type { TableChanges } from './TableCopy.js'
import type { RelayedChanges, TableStatus } from './tableMessages.js'
import { TableReach } from './TableReach.js'
import type { RelayedTable, TableRelay } from './TableRelay.js'
import type { TableError, TableRow, TableRows } from './types.js'

/** A table that can be read whole and watched from there; its rows are not yet decoded. */
export interface WatchedTable {
  readonly name: string
  read (): Promise<Result<TableRows<Json>, TableError>>
  /** Rows changed after a revision, as soon as there are some or when the wait is over. */
  changes (after: number, wait: Millis): Promise<Result<TableRows<Json>, TableError>>
}

export interface TableListener<Value> {
  /** All rows as of one moment; what is not among them is gone. */
  replaced (rows: ReadonlyArray<TableRow<Value>>, outage: Millis): void
  changed (rows: ReadonlyArray<TableRow<Value>>, outage: Millis): void
}

export interface TableWatchOptions<Value> {
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly table: WatchedTable
  readonly decode: (key: string, value: Json) => Value
  readonly listener: TableListener<Value>
  /** Other instances that follow the table; without them this one follows it alone. */
  readonly relay?: Pick<TableRelay, 'add' | 'isAlone' | 'isWatcher' | 'announce' | 'push' | 'fetch'>
}

const NO_WAIT = millis(0)

/**
 * Keeps a copy of one table current. A watcher follows the table in the store and relays it; an instance that
 * gets no status in time looks at the store itself, so that no single other instance is relied upon.
 *
 * @example
 * const watch = new TableWatch({ clock, random, log, table, decode, listener, relay })
 * watch.start()
 */
export class TableWatch<Value> implements RelayedTable {
  readonly #options: TableWatchOptions<Value>
  readonly #copy = new TableCopy()
  readonly #reach: TableReach
  /** When the store confirmed the copy last, to this instance or to another. */
  #answeredAt: Millis | undefined
  /** When some instance was last known to follow the table in the store. */
  #statusAt: Millis | undefined
  #spread: Millis = NO_WAIT
  #isWatcher: boolean
  #roleAt: Millis | undefined
  readonly #startedAt: Millis
  #isFetching = false
  /** Whether the last own look was answered. */
  #isFollowing = false
  #isStopped = false

  constructor (options: TableWatchOptions<Value>) {
    const { clock, random, log, table } = options
    this.#options = options
    this.#reach = new TableReach({ clock, random, log, table: table.name })
    this.#isWatcher = options.relay === undefined
    this.#startedAt = clock.now()
    options.relay?.add(this)
  }

  get name (): string {
    return this.#options.table.name
  }

  /** Time since the store confirmed what is known here; undefined where it never did. */
  get age (): Millis | undefined {
    return this.#answeredAt === undefined ? undefined : millis(this.#options.clock.now() - this.#answeredAt)
  }

  start (): void {
    void this.#follow()
    if (this.#options.relay !== undefined) void this.#publishStatus()
  }

  stop (): void {
    this.#isStopped = true
  }

  status (): TableStatus | undefined {
    const { revision, digest } = this.#copy
    if (revision === undefined || this.#statusAt === undefined || this.#answeredAt === undefined) return undefined
    const now = this.#options.clock.now()
    return {
      table: this.name, revision, digest, statusAge: millis(now - this.#statusAt), answerAge: millis(now - this.#answeredAt)
    }
  }

  since (after: number | undefined): RelayedChanges | undefined {
    const changes = this.#copy.since(after)
    return changes === undefined ? undefined : this.#relayed(changes)
  }

  /** A neighbour sent how current its copy is. */
  receiveStatus (status: TableStatus, from: InstanceId): void {
    const standing = this.#copy.compare(status.revision, status.digest)
    if (standing === 'behind') this.#fetchFrom(from)
    if (standing === 'equal') this.#noteStatus(status, from)
  }

  /** A neighbour handed changes on. */
  receiveChanges (relayed: RelayedChanges, from: InstanceId): void {
    if (!this.#take(relayed.changes, relayed.outage, from)) return this.#fetchFrom(from)
    this.#noteAnswer(millis(this.#options.clock.now() - relayed.answerAge))
  }

  async #follow (): Promise<void> {
    const { clock } = this.#options
    while (!this.#isStopped) {
      const wait = this.#untilLook()
      if (wait > 0) await clock.sleep(wait)
      else await this.#lookOnce()
    }
  }

  async #lookOnce (): Promise<void> {
    const { clock } = this.#options
    const begunAt = clock.now()
    this.#isFollowing = await this.#look()
    if (!this.#isFollowing) await this.#reach.pause(this.#isRelied ? MAX_WATCH_RETRY : MAX_SHARED_RETRY)
    else await clock.sleep(millis(Math.max(0, WATCH_PACE - (clock.now() - begunAt))))
  }

  /** Whether others wait for this instance's looks, or it knows nothing yet. */
  get #isRelied (): boolean {
    return this.#isWatcher || this.#copy.revision === undefined
  }

  /** Time until this instance looks at the store, or looks again whether it should. */
  #untilLook (): Millis {
    const { clock, log } = this.#options
    if (this.#copy.revision === undefined || this.#checkRole()) return NO_WAIT
    const now = clock.now()
    const statusDue = (this.#statusAt ?? now) + STATUS_LIMIT
    const answerDue = (this.#answeredAt ?? now) + ANSWER_LIMIT
    const left = Math.min(statusDue, answerDue) + this.#spread - now
    if (left > 0) return millis(Math.min(left, ROLE_PERIOD))
    log.emit(DIRECTORY_EVENTS.tableStale, { table: this.name, statusAgeMs: now - (this.#statusAt ?? now), answerAgeMs: this.age })
    return NO_WAIT
  }

  /** Whether this instance follows the table for the others; found anew now and then. */
  #checkRole (): boolean {
    const { clock, log, relay } = this.#options
    if (relay === undefined) return true
    const now = clock.now()
    if (this.#roleAt !== undefined && now - this.#roleAt < ROLE_PERIOD) return this.#isWatcher
    this.#roleAt = now
    const isWatcher = this.#mayWatch(relay, now) && relay.isWatcher(this.name)
    if (isWatcher !== this.#isWatcher) log.emit(DIRECTORY_EVENTS.tableRole, { table: this.name, watches: isWatcher })
    this.#isWatcher = isWatcher
    return isWatcher
  }

  /** Shortly after its start an instance may know too few others to find who should watch. */
  #mayWatch (relay: Pick<TableRelay, 'isAlone'>, now: Millis): boolean {
    const age = now - this.#startedAt
    return age >= ROLE_DELAY || (age >= ROLE_PERIOD && relay.isAlone)
  }

  async #look (): Promise<boolean> {
    const { table } = this.#options
    const after = this.#copy.revision
    const wait = this.#isWatcher ? WATCH_WAIT : NO_WAIT
    const answer = after === undefined ? await table.read() : await table.changes(after, wait)
    if (this.#isStopped) return true
    if (answer.isErr) return await this.#failed(answer.error)
    const { rows, revision } = answer.value
    this.#seen({ after, rows, revision })
    return true
  }

  /** Takes the store's answer in and passes it on. */
  #seen (changes: TableChanges): void {
    const { clock, random, relay } = this.#options
    const outage = this.#reach.regained()
    this.#spread = millis(random.next() * LOOK_SPREAD)
    this.#noteAnswer(clock.now())
    this.#statusAt = clock.now()
    this.#take(changes, outage, undefined)
    relay?.announce(this.name)
  }

  async #failed (err: TableError): Promise<boolean> {
    if (err.kind === 'history-gone') {
      const whole = await this.#options.table.read()
      if (whole.isErr) return await this.#failed(whole.error)
      this.#seen({ after: undefined, rows: whole.value.rows, revision: whole.value.revision })
      return true
    }
    this.#reach.lost(err.detail, this.#copy.revision, this.#answeredAt)
    return false
  }

  /** Takes changes in and hands them on; false where some before them are missing. */
  #take (changes: TableChanges, outage: Millis, from: InstanceId | undefined): boolean {
    const { log, listener, relay } = this.#options
    const base = this.#copy.digest
    const step = this.#copy.take(changes)
    if (step.kind === 'gap') return false
    if (step.kind === 'known') return true
    log.emit(DIRECTORY_EVENTS.tableChanged, {
      table: this.name, revision: changes.revision, rows: step.rows.length, from: from ?? 'store', ageMs: this.age, outageMs: outage
    })
    if (step.kind === 'replaced') listener.replaced(step.rows.map((row) => this.#decoded(row)), outage)
    else listener.changed(step.rows.map((row) => this.#decoded(row)), outage)
    if (step.kind === 'changed') relay?.push(this.#relayed({ ...changes, rows: step.rows, base }), from)
    else relay?.announce(this.name, from)
    return true
  }

  #decoded ({ key, value, revision }: TableRow<Json>): TableRow<Value> {
    return { key, revision, value: value === undefined ? undefined : this.#options.decode(key, value) }
  }

  #relayed (changes: TableChanges): RelayedChanges {
    return { table: this.name, changes, answerAge: this.age ?? NO_WAIT, outage: this.#reach.recentOutage }
  }

  #noteAnswer (at: Millis): void {
    this.#answeredAt = millis(Math.max(this.#answeredAt ?? at, at))
  }

  #noteStatus ({ statusAge, answerAge }: TableStatus, from: InstanceId): void {
    const { clock, relay } = this.#options
    const now = clock.now()
    this.#noteAnswer(millis(now - answerAge))
    const at = millis(now - statusAge)
    if (this.#statusAt !== undefined && at - this.#statusAt < STATUS_GAIN) return
    this.#statusAt = at
    relay?.announce(this.name, from)
  }

  /** Asks a neighbour for what is missing here; the next status asks again where it gives nothing. */
  #fetchFrom (from: InstanceId): void {
    if (this.#isFetching) return
    this.#isFetching = true
    void this.#fetch(from).finally(() => { this.#isFetching = false })
  }

  async #fetch (from: InstanceId): Promise<void> {
    const relayed = await this.#options.relay?.fetch(this.name, from, this.#copy.revision)
    if (relayed === undefined || this.#isStopped) return
    this.#take(relayed.changes, relayed.outage, from)
    this.#noteAnswer(millis(this.#options.clock.now() - relayed.answerAge))
    this.#statusAt ??= this.#answeredAt
  }

  /** A watcher whose looks are answered publishes its status, also while it waits for the next change. */
  async #publishStatus (): Promise<void> {
    const { clock, relay } = this.#options
    while (!this.#isStopped) {
      await clock.sleep(STATUS_PERIOD)
      if (!this.#isWatcher || !this.#isFollowing) continue
      this.#statusAt = clock.now()
      relay?.announce(this.name)
    }
  }
}

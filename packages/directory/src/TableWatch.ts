import { millis } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, Json, Millis, Random } from '@papayahill/common'
import type { Result } from 'true-myth'
import {
  ANSWER_LIMIT, LONG_POLL_WAIT, MAX_BACKUP_POLL_RETRY, MAX_POLL_RETRY, MIN_POLL_INTERVAL, MIN_STATUS_GAIN, POLL_SPREAD, ROLE_PERIOD,
  ROLE_START_DELAY, STATUS_LIMIT, STATUS_PERIOD
} from './constants.js'
import { DIRECTORY_EVENTS } from './events.js'
import { AnswerGaps } from './AnswerGaps.js'
import { TableAvailability } from './TableAvailability.js'
import { TableCopy } from './TableCopy.js'
import type { TableChanges } from './TableCopy.js'
import type { RelayedChanges, TableStatus } from './tableMessages.js'
import type { RelayedTable, TableRelay } from './TableRelay.js'
import type { TableError, TableRow, TableRows } from './types.js'

/** A table of the store that can be read whole and polled for changes; its rows are not yet decoded. */
export interface WatchedTable {
  readonly name: string
  read (): Promise<Result<TableRows<Json>, TableError>>
  /** Rows changed after a revision, as soon as there are some or when `wait` is over (long polling). */
  changes (after: number, wait: Millis): Promise<Result<TableRows<Json>, TableError>>
}

export interface TableListener<Value> {
  /** All rows as of one revision; rows not among them were removed. */
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
  /** Relay to the other instances that watch the table; without it, this instance always polls the store. */
  readonly relay?: Pick<TableRelay, 'add' | 'isAlone' | 'isWatcher' | 'announce' | 'push' | 'fetch'>
}

const NO_WAIT = millis(0)

/**
 * Keeps a copy of one table current. A watcher polls the table in the store and relays it; an instance that
 * receives no status in time polls the store itself, so that it depends on no single other instance.
 *
 * @example
 * const watch = new TableWatch({ clock, random, log, table, decode, listener, relay })
 * watch.start()
 */
export class TableWatch<Value> implements RelayedTable {
  readonly #options: TableWatchOptions<Value>
  readonly #copy = new TableCopy()
  readonly #availability: TableAvailability
  readonly #answerGaps = new AnswerGaps()
  /** When an instance was last known to poll the table in the store. */
  #statusAt: Millis | undefined
  #pollDelay: Millis = NO_WAIT
  #isWatcher: boolean
  #roleCheckedAt: Millis | undefined
  readonly #startedAt: Millis
  #isFetching = false
  /** Whether the last poll of this instance was answered. */
  #wasLastPollAnswered = false
  #droppedEra: number | undefined
  #isStopped = false

  constructor (options: TableWatchOptions<Value>) {
    const { clock, random, log, table } = options
    this.#options = options
    this.#availability = new TableAvailability({ clock, random, log, table: table.name })
    this.#isWatcher = options.relay === undefined
    this.#startedAt = clock.now()
    options.relay?.add(this)
  }

  get name (): string {
    return this.#options.table.name
  }

  /** Time since the store confirmed the copy; undefined if it never did. */
  get age (): Millis | undefined {
    const { answeredAt } = this.#answerGaps
    return answeredAt === undefined ? undefined : millis(this.#options.clock.now() - answeredAt)
  }

  start (): void {
    void this.#pollLoop()
    if (this.#options.relay !== undefined) void this.#publishStatus()
  }

  stop (): void {
    this.#isStopped = true
  }

  status (): TableStatus | undefined {
    const { revision, digest } = this.#copy
    if (revision === undefined || this.#statusAt === undefined || this.#answerGaps.answeredAt === undefined) return undefined
    const now = this.#options.clock.now()
    return {
      table: this.name, revision, digest, statusAge: millis(now - this.#statusAt), answerAge: millis(now - this.#answerGaps.answeredAt)
    }
  }

  since (after: number | undefined): RelayedChanges | undefined {
    const changes = this.#copy.since(after)
    return changes === undefined ? undefined : this.#relayed(changes)
  }

  /** Receives the status of a neighbour's copy. */
  receiveStatus (status: TableStatus, from: InstanceId): void {
    const comparison = this.#copy.compare(status.revision, status.digest)
    if (comparison === 'behind') this.#fetchFrom(from)
    if (comparison === 'equal') this.#noteStatus(status, from)
  }

  /** Receives changes relayed by a neighbour. */
  receiveChanges (relayed: RelayedChanges, from: InstanceId): void {
    if (!this.#applyRelayed(relayed, from)) this.#fetchFrom(from)
  }

  async #pollLoop (): Promise<void> {
    const { clock } = this.#options
    while (!this.#isStopped) {
      const wait = this.#timeUntilPoll()
      if (wait > 0) await clock.sleep(wait)
      else await this.#pollAndWait()
    }
  }

  async #pollAndWait (): Promise<void> {
    const { clock } = this.#options
    const begunAt = clock.now()
    this.#wasLastPollAnswered = await this.#poll()
    if (!this.#wasLastPollAnswered) await this.#availability.pause(this.#isReliedOn ? MAX_POLL_RETRY : MAX_BACKUP_POLL_RETRY)
    else await clock.sleep(millis(Math.max(0, MIN_POLL_INTERVAL - (clock.now() - begunAt))))
  }

  /** Whether others depend on this instance's polls, or it has no copy yet. */
  get #isReliedOn (): boolean {
    return this.#isWatcher || this.#copy.revision === undefined
  }

  /** Time until this instance polls the store, or checks again whether it should. */
  #timeUntilPoll (): Millis {
    const { clock, log } = this.#options
    if (this.#copy.revision === undefined || this.#checkRole()) return NO_WAIT
    const now = clock.now()
    const statusDue = (this.#statusAt ?? now) + STATUS_LIMIT
    const answerDue = (this.#answerGaps.answeredAt ?? now) + ANSWER_LIMIT
    const left = Math.min(statusDue, answerDue) + this.#pollDelay - now
    if (left > 0) return millis(Math.min(left, ROLE_PERIOD))
    log.emit(DIRECTORY_EVENTS.tableStale, { table: this.name, statusAgeMs: now - (this.#statusAt ?? now), answerAgeMs: this.age })
    return NO_WAIT
  }

  /** Whether this instance is a watcher of the table; determined again every {@link ROLE_PERIOD}. */
  #checkRole (): boolean {
    const { clock, log, relay } = this.#options
    if (relay === undefined) return true
    const now = clock.now()
    if (this.#roleCheckedAt !== undefined && now - this.#roleCheckedAt < ROLE_PERIOD) return this.#isWatcher
    this.#roleCheckedAt = now
    const isWatcher = this.#canWatch(relay, now) && relay.isWatcher(this.name)
    if (isWatcher !== this.#isWatcher) log.emit(DIRECTORY_EVENTS.tableRole, { table: this.name, watches: isWatcher })
    this.#isWatcher = isWatcher
    return isWatcher
  }

  /** Shortly after its start an instance may know too few others to determine the watchers. */
  #canWatch (relay: Pick<TableRelay, 'isAlone'>, now: Millis): boolean {
    const age = now - this.#startedAt
    return age >= ROLE_START_DELAY || (age >= ROLE_PERIOD && relay.isAlone)
  }

  async #poll (): Promise<boolean> {
    const { table } = this.#options
    const after = this.#copy.revision
    const wait = this.#isWatcher ? LONG_POLL_WAIT : NO_WAIT
    const answer = after === undefined ? await table.read() : await table.changes(after, wait)
    if (this.#isStopped) return true
    if (answer.isErr) return await this.#handleError(answer.error)
    this.#applyAnswer(after, answer.value)
    return true
  }

  /** Applies the store's answer to a poll after a revision, or to a read, and relays it. */
  #applyAnswer (after: number | undefined, { era, rows, revision }: TableRows<Json>): void {
    const { clock, random, relay } = this.#options
    const now = clock.now()
    const outage = this.#answerGaps.outageOf(this.#availability.regained(), now, now)
    this.#pollDelay = millis(random.next() * POLL_SPREAD)
    this.#noteAnswer(now)
    this.#statusAt = now
    this.#logIfDropped(after, era, revision)
    this.#apply({ after, rows, revision }, outage, undefined)
    relay?.announce(this.name)
  }

  /** Logs an answer of an older revision than the copy's, once for each era. */
  #logIfDropped (after: number | undefined, era: number, revision: number): void {
    const known = this.#copy.revision
    if (known === undefined || revision >= known || this.#droppedEra === era) return
    this.#droppedEra = era
    this.#options.log.emit(DIRECTORY_EVENTS.tableAnswerDropped, { table: this.name, era, after, revision, known })
  }

  async #handleError (err: TableError): Promise<boolean> {
    if (err.kind === 'history-gone') {
      const whole = await this.#options.table.read()
      if (whole.isErr) return await this.#handleError(whole.error)
      this.#applyAnswer(undefined, whole.value)
      return true
    }
    this.#availability.lost(err.detail, this.#copy.revision, this.#answerGaps.answeredAt)
    return false
  }

  /** Applies changes and relays them; false if changes before them are missing. */
  #apply (changes: TableChanges, outage: Millis, from: InstanceId | undefined): boolean {
    const { log, listener, relay } = this.#options
    const base = this.#copy.digest
    const result = this.#copy.apply(changes)
    if (result.kind === 'gap') return false
    if (result.kind === 'known') return true
    log.emit(DIRECTORY_EVENTS.tableChanged, {
      table: this.name, revision: changes.revision, rows: result.rows.length, from: from ?? 'store', ageMs: this.age, outageMs: outage
    })
    if (result.kind === 'replaced') listener.replaced(result.rows.map((row) => this.#decoded(row)), outage)
    else listener.changed(result.rows.map((row) => this.#decoded(row)), outage)
    if (result.kind === 'changed') relay?.push(this.#relayed({ ...changes, rows: result.rows, base }), from)
    else relay?.announce(this.name, from)
    return true
  }

  /** Applies relayed changes, with the outage that they report if the store answered nobody in it; false if changes are missing. */
  #applyRelayed ({ changes, outage, answerAge }: RelayedChanges, from: InstanceId): boolean {
    const now = this.#options.clock.now()
    const answeredAt = millis(now - answerAge)
    if (!this.#apply(changes, this.#answerGaps.outageOf(outage, answeredAt, now), from)) return false
    this.#noteAnswer(answeredAt)
    return true
  }

  #decoded ({ key, value, revision }: TableRow<Json>): TableRow<Value> {
    return { key, revision, value: value === undefined ? undefined : this.#options.decode(key, value) }
  }

  #relayed (changes: TableChanges): RelayedChanges {
    return { table: this.name, changes, answerAge: this.age ?? NO_WAIT, outage: this.#availability.recentOutage }
  }

  #noteAnswer (at: Millis): void {
    this.#answerGaps.noteAnswer(at, this.#options.clock.now())
  }

  #noteStatus ({ statusAge, answerAge }: TableStatus, from: InstanceId): void {
    const { clock, relay } = this.#options
    const now = clock.now()
    this.#noteAnswer(millis(now - answerAge))
    const at = millis(now - statusAge)
    if (this.#statusAt !== undefined && at - this.#statusAt < MIN_STATUS_GAIN) return
    this.#statusAt = at
    relay?.announce(this.name, from)
  }

  /** Fetches missing changes from a neighbour; if that fails, the next status triggers another fetch. */
  #fetchFrom (from: InstanceId): void {
    if (this.#isFetching) return
    this.#isFetching = true
    void this.#fetch(from).finally(() => { this.#isFetching = false })
  }

  async #fetch (from: InstanceId): Promise<void> {
    const relayed = await this.#options.relay?.fetch(this.name, from, this.#copy.revision)
    if (relayed === undefined || this.#isStopped) return
    this.#applyRelayed(relayed, from)
    this.#statusAt ??= this.#answerGaps.answeredAt
  }

  /** Publishes the status while this instance is a watcher whose polls are answered, also while it waits for the next change. */
  async #publishStatus (): Promise<void> {
    const { clock, relay } = this.#options
    while (!this.#isStopped) {
      await clock.sleep(STATUS_PERIOD)
      if (!this.#isWatcher || !this.#wasLastPollAnswered) continue
      this.#statusAt = clock.now()
      relay?.announce(this.name)
    }
  }
}

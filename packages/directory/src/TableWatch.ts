import { millis } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, Json, Millis, Random } from '@papayahill/common'
import type { Result } from 'true-myth'
import {
  APPLY_TIME, MAX_BACKUP_POLL_RETRY, MAX_POLL_RETRY, MIN_POLL_INTERVAL, MIN_STATUS_GAIN, ROLE_PERIOD
} from './constants.js'
import { DIRECTORY_EVENTS } from './events.js'
import { AnswerGaps } from './AnswerGaps.js'
import { backupDelayOf, pollTimesOf, pollWaitOf } from './pollTimes.js'
import { TableAvailability } from './TableAvailability.js'
import { StoreHistory } from './StoreHistory.js'
import type { TableChanges } from './TableCopy.js'
import type { RelayedChanges, TableStatus } from './tableMessages.js'
import type { RelayedTable, TableRelay } from './TableRelay.js'
import type { TableView } from './TableView.js'
import type { RowRetention, StorePosition, TableError, TableRows } from './types.js'
import { WatchedRows } from './WatchedRows.js'
import type { TableListener } from './WatchedRows.js'
import { WatchRole } from './WatchRole.js'

/** A table of the store that can be read whole and polled for changes; its rows are not yet decoded. */
export interface WatchedTable {
  readonly name: string
  read (): Promise<Result<TableRows<Json>, TableError>>
  /** Rows changed after a revision, as soon as there are some or when `wait` is over (long polling). */
  changes (after: number, wait: Millis): Promise<Result<TableRows<Json>, TableError>>
}

export interface TableWatchOptions<Value> {
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly table: WatchedTable
  readonly decode: (key: string, value: Json) => Value
  readonly listener: TableListener<Value>
  /** Relay to the other instances that watch the table; without it, this instance always polls the store. */
  readonly relay?: Pick<TableRelay, 'add' | 'isAlone' | 'placeIn' | 'announce' | 'push' | 'fetch'>
  /** The store's history, shared by all that read the store; without it, the table's own. */
  readonly history?: StoreHistory
  /** How long rows stay in force that a restored store has lost; by default, as long as endpoints have to register again. */
  readonly retention?: RowRetention
}

const NO_WAIT = millis(0)
const POLL_TIMES = pollTimesOf(APPLY_TIME)

/** Changes whose retained rows have other ends: `by` later. */
const shiftRetained = (changes: TableChanges, by: number): TableChanges =>
  changes.retained === undefined
    ? changes
    : { ...changes, retained: changes.retained.map((row) => ({ ...row, until: millis(row.until + by) })) }

/**
 * Keeps a copy of one table current. The watchers poll the table in the store in turn and relay it. Every status tells how
 * old the store's last answer is, so that nobody relies on a poll without an answer: an instance that knows of no recent
 * answer polls the store itself.
 *
 * @example
 * const watch = new TableWatch({ clock, random, log, table, decode, listener, relay })
 * watch.start()
 */
export class TableWatch<Value> implements RelayedTable {
  readonly #options: TableWatchOptions<Value>
  readonly #rows: WatchedRows<Value>
  readonly #history: StoreHistory
  readonly #role: WatchRole
  readonly #availability: TableAvailability
  readonly #answerGaps = new AnswerGaps()
  /** The store's clock less this instance's; undefined until the store has told it. */
  #storeClockOffset: number | undefined
  #isFetching = false
  #droppedEra: number | undefined
  #isStopped = false

  constructor (options: TableWatchOptions<Value>) {
    const { clock, random, log, table } = options
    this.#options = options
    this.#availability = new TableAvailability({ clock, random, log, table: table.name })
    this.#role = new WatchRole({ clock, log, table: table.name, relay: options.relay })
    this.#history = options.history ?? new StoreHistory(log)
    const { decode, listener, retention } = options
    this.#rows = new WatchedRows({ clock, log, name: table.name, decode, listener, retention })
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

  get #view (): TableView {
    return this.#rows.view
  }

  /** Number of rows and removals that are retained after a restore of the store. */
  get retainedCount (): number {
    return this.#view.retainedCount
  }

  /** Number of rows that are kept. */
  get keptCount (): number {
    return this.#view.keptCount
  }

  start (): void {
    void this.#pollLoop()
  }

  stop (): void {
    this.#isStopped = true
    this.#rows.stop()
  }

  status (): TableStatus | undefined {
    const { summary } = this.#view
    const { age } = this
    return summary === undefined || age === undefined ? undefined : { ...summary, table: this.name, answerAge: age }
  }

  since (after: StorePosition | undefined): RelayedChanges | undefined {
    const changes = this.#view.since(after)
    return changes === undefined ? undefined : this.#relayed(changes)
  }

  /** Receives the status of a neighbour's copy. */
  receiveStatus (status: TableStatus, from: InstanceId): void {
    const comparison = this.#view.compare(status)
    if (comparison === 'behind') return this.#fetchFrom(from, this.#view.position)
    if (comparison === 'equal') this.#noteStatus(status, from)
    if (comparison === 'equal' && this.#view.shouldAskFor(status.retained)) this.#fetchFrom(from, undefined)
  }

  /** Receives changes relayed by a neighbour. */
  receiveChanges (relayed: RelayedChanges, from: InstanceId): void {
    if (!this.#applyRelayed(relayed, from)) this.#fetchFrom(from, this.#view.position)
  }

  async #pollLoop (): Promise<void> {
    const { clock } = this.#options
    while (!this.#isStopped) {
      const wait = this.#timeUntilPoll()
      if (wait > 0) await clock.sleep(wait)
      else await this.#pollAndWait().catch((err: unknown) => this.#pollFailed(err))
    }
  }

  /** A bug met what the table holds: the loop must go on, since others depend on it. */
  async #pollFailed (err: unknown): Promise<void> {
    const { clock, log } = this.#options
    log.emit(DIRECTORY_EVENTS.tablePollFailed, { table: this.name, detail: err instanceof Error ? err.stack ?? err.message : String(err) })
    await clock.sleep(MAX_POLL_RETRY)
  }

  async #pollAndWait (): Promise<void> {
    const { clock } = this.#options
    const begunAt = clock.now()
    const isAnswered = await this.#poll()
    if (!isAnswered) await this.#availability.pause(this.#isReliedOn ? MAX_POLL_RETRY : MAX_BACKUP_POLL_RETRY)
    else await clock.sleep(millis(Math.max(0, MIN_POLL_INTERVAL - (clock.now() - begunAt))))
  }

  /** Whether others depend on this instance's polls, or it has no copy yet. */
  get #isReliedOn (): boolean {
    return this.#role.isWatcher || this.#view.position === undefined
  }

  /** Time until this instance polls the store, or checks again whether it should. */
  #timeUntilPoll (): Millis {
    const { age } = this
    if (this.#view.position === undefined || this.#role.check() || age === undefined) return NO_WAIT
    const { place } = this.#role
    const left = POLL_TIMES.ageLimit + backupDelayOf(place) - age
    if (left > 0) return millis(Math.min(left, ROLE_PERIOD))
    this.#options.log.emit(DIRECTORY_EVENTS.tableStale, { table: this.name, answerAgeMs: age, ...place })
    return NO_WAIT
  }

  /** A watcher's poll waits for the next change, at most until this instance's turn; a backup's does not wait. */
  get #pollWait (): Millis {
    if (!this.#role.isWatcher) return NO_WAIT
    const offset = this.#storeClockOffset
    const storeTime = offset === undefined ? undefined : millis(this.#options.clock.now() + offset)
    return pollWaitOf(this.#role.place, POLL_TIMES.turn, storeTime)
  }

  async #poll (): Promise<boolean> {
    const { table } = this.#options
    const after = this.#view.position
    const answer = after === undefined ? await table.read() : await table.changes(after.revision, this.#pollWait)
    if (this.#isStopped) return true
    if (answer.isErr) return await this.#handleError(answer.error)
    if (after === undefined) return this.#applyAnswer(undefined, answer.value)
    // Changes of a new era begin at a revision that was another one in this copy's era.
    if (answer.value.era > after.era) return await this.#readWhole()
    return this.#applyAnswer(after.revision, answer.value)
  }

  async #readWhole (): Promise<boolean> {
    const whole = await this.#options.table.read()
    if (this.#isStopped) return true
    if (whole.isErr) return await this.#handleError(whole.error)
    return this.#applyAnswer(undefined, whole.value)
  }

  /** Applies the store's answer to a poll after a revision, or to a read, and relays it. */
  #applyAnswer (after: number | undefined, answer: TableRows<Json>): boolean {
    const { clock, relay } = this.#options
    const now = clock.now()
    const outage = this.#answerGaps.outageOf(this.#availability.regained(), now, now)
    if (answer.storeTime !== undefined) this.#storeClockOffset = answer.storeTime - now
    this.#logIfDropped(after, answer)
    this.#noteAnswer(now)
    this.#apply({ ...answer, after }, outage, undefined)
    relay?.announce(this.name)
    return true
  }

  /** Logs an answer of an older position than the copy's, once for each era. */
  #logIfDropped (after: number | undefined, { era, revision }: StorePosition): void {
    const known = this.#view.position
    if (known === undefined || this.#droppedEra === era) return
    if (era > known.era || (era === known.era && revision >= known.revision)) return
    this.#droppedEra = era
    this.#options.log.emit(DIRECTORY_EVENTS.tableAnswerDropped, {
      table: this.name, era, after, revision, knownEra: known.era, known: known.revision
    })
  }

  async #handleError (err: TableError): Promise<boolean> {
    if (err.kind === 'history-gone') return await this.#readWhole()
    this.#availability.lost(err.detail, this.#view.position?.revision, this.#answerGaps.answeredAt)
    return false
  }

  /** Applies changes and relays them; false if changes before them are missing. */
  #apply (changes: TableChanges, outage: Millis, from: InstanceId | undefined): boolean {
    const { relay } = this.#options
    const base = this.#view.digest
    this.#history.note(changes.era)
    const result = this.#rows.apply(changes, outage)
    if (result.kind === 'gap') return false
    if (result.kind === 'known' || result.kind === 'outdated') return true
    this.#logChange(changes, result.rows.length, outage, from)
    if (result.kind === 'changed') relay?.push(this.#relayed({ ...changes, base }), from)
    else relay?.announce(this.name, from)
    return true
  }

  #logChange ({ era, revision }: StorePosition, rows: number, outage: Millis, from: InstanceId | undefined): void {
    this.#options.log.emit(DIRECTORY_EVENTS.tableChanged, {
      table: this.name, era, revision, rows, from: from ?? 'store', ageMs: this.age, outageMs: outage
    })
  }

  /** Applies relayed changes, with the outage that they report if the store answered nobody in it; false if changes are missing. */
  #applyRelayed (relayed: RelayedChanges, from: InstanceId): boolean {
    const now = this.#options.clock.now()
    const answeredAt = millis(now - relayed.answerAge)
    const changes = shiftRetained(relayed.changes, now)
    if (!this.#apply(changes, this.#answerGaps.outageOf(relayed.outage, answeredAt, now), from)) return false
    this.#rows.adopt(changes)
    if (changes.era === this.#view.position?.era) this.#noteAnswer(answeredAt)
    return true
  }

  #relayed (changes: TableChanges): RelayedChanges {
    const timeLeft = shiftRetained(changes, -this.#options.clock.now())
    return { table: this.name, changes: timeLeft, answerAge: this.age ?? NO_WAIT, outage: this.#availability.recentOutage }
  }

  #noteAnswer (at: Millis): void {
    this.#answerGaps.noteAnswer(at, this.#options.clock.now())
  }

  #noteStatus ({ answerAge }: TableStatus, from: InstanceId): void {
    const { clock, relay } = this.#options
    const known = this.#answerGaps.answeredAt
    const at = millis(clock.now() - answerAge)
    this.#noteAnswer(at)
    if (known === undefined || at - known >= MIN_STATUS_GAIN) relay?.announce(this.name, from)
  }

  /** Fetches missing changes from a neighbour; if that fails, the next status triggers another fetch. */
  #fetchFrom (from: InstanceId, after: StorePosition | undefined): void {
    if (this.#isFetching) return
    this.#isFetching = true
    void this.#fetch(from, after).finally(() => { this.#isFetching = false })
  }

  async #fetch (from: InstanceId, after: StorePosition | undefined): Promise<void> {
    const relayed = await this.#options.relay?.fetch(this.name, from, after)
    if (relayed === undefined || this.#isStopped) return
    this.#applyRelayed(relayed, from)
  }
}

import { millis } from '@papayahill/common'
import type { Clock, EventLog, Millis, Random } from '@papayahill/common'
import type { Result } from 'true-myth'
import { MAX_WATCH_RETRY, MIN_WATCH_RETRY, WATCH_PACE, WATCH_WAIT } from './constants.js'
import { DIRECTORY_EVENTS } from './events.js'
import type { TableError, TableRow, TableRows } from './types.js'

/** A table that can be read whole and watched from there. */
export interface WatchedTable<Value> {
  readonly name: string
  read (): Promise<Result<TableRows<Value>, TableError>>
  /** Rows changed after a revision, as soon as there are some or when the wait is over. */
  changes (after: number, wait: Millis): Promise<Result<TableRows<Value>, TableError>>
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
  readonly table: WatchedTable<Value>
  readonly listener: TableListener<Value>
}

/**
 * Follows one table: reads it once, then its changes, and reads it anew when their history is gone.
 *
 * @example
 * const watch = new TableWatch({ clock, random, log, table, listener })
 * watch.start()
 */
export class TableWatch<Value> {
  readonly #options: TableWatchOptions<Value>
  #revision: number | undefined
  #retry: Millis = MIN_WATCH_RETRY
  #lostAt: Millis | undefined
  #answeredAt: Millis | undefined
  #isStopped = false

  constructor (options: TableWatchOptions<Value>) {
    this.#options = options
  }

  get name (): string {
    return this.#options.table.name
  }

  /** Time since the table last answered; undefined where it never did. */
  get age (): Millis | undefined {
    return this.#answeredAt === undefined ? undefined : millis(this.#options.clock.now() - this.#answeredAt)
  }

  start (): void {
    void this.#follow()
  }

  stop (): void {
    this.#isStopped = true
  }

  async #follow (): Promise<void> {
    const { clock } = this.#options
    while (!this.#isStopped) {
      const begunAt = clock.now()
      const isAnswered = await this.#look()
      if (!isAnswered) await this.#pause()
      else await clock.sleep(millis(Math.max(0, WATCH_PACE - (clock.now() - begunAt))))
    }
  }

  async #look (): Promise<boolean> {
    const { table, listener } = this.#options
    const after = this.#revision
    const answer = after === undefined ? await table.read() : await table.changes(after, WATCH_WAIT)
    if (this.#isStopped) return true
    if (answer.isErr) return this.#failed(answer.error)
    const outage = this.#regained()
    const { rows, revision } = answer.value
    this.#revision = revision
    if (after === undefined) listener.replaced(rows, outage)
    else if (rows.length > 0) listener.changed(rows, outage)
    return true
  }

  #failed (err: TableError): boolean {
    const { clock, log, table } = this.#options
    if (err.kind === 'history-gone') {
      this.#revision = undefined
      return true
    }
    if (this.#lostAt === undefined) {
      this.#lostAt = this.#answeredAt ?? clock.now()
      log.emit(DIRECTORY_EVENTS.tableLost, { table: table.name, revision: this.#revision, detail: err.detail })
    }
    return false
  }

  /** Notes the answer; the time for which the table could not be read before it. */
  #regained (): Millis {
    const { clock, log, table } = this.#options
    const outage = millis(this.#lostAt === undefined ? 0 : clock.now() - this.#lostAt)
    if (this.#lostAt !== undefined) log.emit(DIRECTORY_EVENTS.tableRegained, { table: table.name, outageMs: outage })
    this.#lostAt = undefined
    this.#answeredAt = clock.now()
    this.#retry = MIN_WATCH_RETRY
    return outage
  }

  async #pause (): Promise<void> {
    const { clock, random } = this.#options
    const wait = millis(this.#retry * (1 + random.next()) / 2)
    this.#retry = millis(Math.min(MAX_WATCH_RETRY, this.#retry * 2))
    await clock.sleep(wait)
  }
}

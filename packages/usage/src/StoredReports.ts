import type { EventLog } from '@papayahill/common'
import type { DutyTable } from '@papayahill/duties'
import { KEPT_REPORTS, MAX_UNACCEPTED_REPORTS } from './constants.js'
import { USAGE_EVENTS } from './events.js'
import { reportKey, reportsIn, rowsOf } from './reportRows.js'
import type { StoredReport } from './reportRows.js'
import type { UsageReport } from './types.js'
import type { WrittenReports } from './WrittenReports.js'

export interface StoredReportsOptions {
  readonly table: DutyTable
  readonly written: WrittenReports
  readonly log: EventLog
}

/**
 * The reports in the store, as the holder last read or wrote them. A report is written on the condition that its window has none.
 * After a write whose outcome is not known, all rows are read again.
 */
export class StoredReports {
  readonly #options: StoredReportsOptions
  readonly #reports = new Map<number, StoredReport>()
  #era = 0
  isLoaded = false

  constructor (options: StoredReportsOptions) {
    this.#options = options
  }

  /** Reports in order of their windows. */
  get reports (): readonly StoredReport[] {
    return [...this.#reports.values()].sort((one, other) => one.window - other.window)
  }

  has (window: number): boolean {
    return this.#reports.has(window)
  }

  /** Reads all rows; false if the store did not answer. */
  async load (): Promise<boolean> {
    const { table, log } = this.#options
    const read = await table.read()
    if (read.isErr) {
      log.emit(USAGE_EVENTS.storeFailed, { detail: read.error.detail })
      return false
    }
    this.#era = read.value.era
    this.#reports.clear()
    for (const stored of reportsIn(read.value.rows)) this.#addRead(stored)
    this.isLoaded = true
    return true
  }

  /** Copies of reports that the store had before it was restored from an older copy. */
  missing (): readonly UsageReport[] {
    const { newest = 0, accepted = -1, copies } = this.#options.written
    return copies.filter(({ window }) => !this.has(window) && (window > newest - KEPT_REPORTS || window > accepted))
  }

  /** Written windows after the newest one in the store of whose reports there are no copies either. */
  lost (): readonly number[] {
    const { newest = -1, copies } = this.#options.written
    const known = new Set([...this.#reports.keys(), ...copies.map(({ window }) => window)])
    const last = this.reports.at(-1)?.window ?? Math.min(newest, ...known)
    return Array.from({ length: Math.max(0, Math.min(newest - last, KEPT_REPORTS)) }, (_none, at) => newest - at)
      .filter((window) => !known.has(window)).reverse()
  }

  /** Writes reports whose windows have none; false if they are not known to be in the store. */
  async write (reports: readonly UsageReport[]): Promise<boolean> {
    const { table, written, log } = this.#options
    const accepted = written.accepted ?? -1
    const rows = reports.map((report) => ({ report, rows: rowsOf(report, accepted) }))
    const removed = this.#removable(Math.max(written.newest ?? 0, ...reports.map(({ window }) => window)))
    const committed = await table.commit({
      era: this.#era,
      expected: [...this.#newestRow(), ...reports.map(({ window }) => ({ key: reportKey(window), revision: 0 }))],
      writes: rows.flatMap((one) => one.rows),
      removals: removed.flatMap(({ keys }) => keys)
    })
    if (committed.isErr || committed.value.kind === 'conflict') {
      this.isLoaded = false
      log.emit(USAGE_EVENTS.storeFailed, { detail: committed.isErr ? committed.error.detail : 'changed by another instance or restored' })
      return false
    }
    const { revision } = committed.value
    for (const { report, rows: own } of rows) {
      this.#reports.set(report.window, { window: report.window, report, accepted, keys: own.map(({ key }) => key), revision })
    }
    for (const { window } of removed) this.#reports.delete(window)
    for (const { report } of rows) written.addCopy(report)
    return true
  }

  /** The newest report's row must be unchanged: it is not after the store was restored from an older copy. */
  #newestRow (): ReadonlyArray<{ readonly key: string, readonly revision: number }> {
    const newest = this.reports.at(-1)
    return newest === undefined ? [] : [{ key: reportKey(newest.window), revision: newest.revision }]
  }

  #removable (newest: number): readonly StoredReport[] {
    const accepted = this.#options.written.accepted ?? -1
    return this.reports.filter(({ window }) =>
      window <= newest - (window <= accepted ? KEPT_REPORTS : MAX_UNACCEPTED_REPORTS))
  }

  /**
   * A copy, which may have been sent, takes precedence over the row: after a restore, an earlier write with another content may
   * have been carried out late.
   */
  #addRead (stored: StoredReport): void {
    const { written, log } = this.#options
    const { window, accepted } = stored
    const report = written.copies.find((copy) => copy.window === window) ?? stored.report
    this.#reports.set(window, { ...stored, report })
    if (accepted >= 0) written.noteAccepted(accepted)
    if (report !== undefined) written.addCopy(report)
    else log.emit(USAGE_EVENTS.rowUnreadable, { window })
    written.noteWritten(window)
  }
}

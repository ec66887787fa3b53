import type { Clock, EventLog, Millis, WorkspaceId } from '@papayahill/common'
import type { DutyTable } from '@papayahill/duties'
import type { Peers } from '@papayahill/peers'
import type { Reports } from '@papayahill/reports'
import { DEFAULT_CALL_SPAN, DEFAULT_LATE, DEFAULT_WINDOW, LATE_WINDOWS } from './constants.js'
import { ReportDispatcher } from './ReportDispatcher.js'
import { StoredReports } from './StoredReports.js'
import type { UsageChannel, UsageCounts, UsageLease, UsageStatus } from './types.js'
import { UsageCollector } from './UsageCollector.js'
import { UsageCounter } from './UsageCounter.js'
import { UsageReporter } from './UsageReporter.js'
import { UsageSource } from './UsageSource.js'
import { WrittenReports } from './WrittenReports.js'

export interface UsageOptions {
  readonly clock: Clock
  readonly peers: Pick<Peers, 'incarnation' | 'members' | 'entries' | 'onEntry' | 'publish'>
  readonly reports: Pick<Reports, 'fleetClock' | 'addSource' | 'addSink' | 'collect'>
  readonly lease: UsageLease
  readonly table: DutyTable
  readonly channel: UsageChannel
  readonly log: EventLog
  /** Length of a window. */
  readonly window?: Millis
  /** Time after a window's end at which its report is due. */
  readonly late?: Millis
  /** Longest time that a call to the platform may take until its last byte is sent. */
  readonly callSpan?: Millis
}

/**
 * Usage of workspaces by window: counts on each instance, reports on the holder of the lease.
 *
 * @example
 * const usage = new Usage({ clock, peers, reports, lease, table, channel, log })
 * usage.start()
 * usage.count(workspace)
 */
export class Usage {
  readonly #counter: UsageCounter
  readonly #source: UsageSource
  readonly #collector: UsageCollector
  readonly #written: WrittenReports
  readonly #dispatcher: ReportDispatcher
  readonly #reporter: UsageReporter
  readonly #lease: UsageLease
  #lateRequests = 0

  constructor (options: UsageOptions) {
    const { clock, peers, reports, lease, table, channel, log } = options
    const { window = DEFAULT_WINDOW, late = DEFAULT_LATE, callSpan = DEFAULT_CALL_SPAN } = options
    const { fleetClock } = reports
    this.#lease = lease
    this.#counter = new UsageCounter({ clock, fleetClock, window })
    this.#collector = new UsageCollector(clock, (dropped, totals) => this.#noteLate(dropped, totals))
    this.#written = new WrittenReports({ peers, isHolder: () => lease.isHeld, onWritten: (newest) => this.#dropThrough(newest) })
    const written = this.#written
    const stored = new StoredReports({ table, written, log })
    this.#dispatcher = new ReportDispatcher({ clock, lease, channel, stored, written, callSpan, log })
    this.#reporter = new UsageReporter({
      clock,
      fleetClock,
      lease,
      usage: this.#collector,
      written,
      stored,
      dispatcher: this.#dispatcher,
      collect: () => reports.collect(),
      live: () => [peers.incarnation, ...peers.members().map(({ incarnation }) => incarnation)],
      window,
      late,
      log
    })
    this.#source = new UsageSource(clock, this.#counter)
    reports.addSource(this.#source)
    reports.addSource(written)
    reports.addSink(this.#collector)
    reports.addSink(written)
  }

  start (): void {
    this.#reporter.start()
  }

  /** Nothing is counted from now on; to be called before the last report is sent. */
  stop (): void {
    this.#source.finish()
    this.#reporter.stop()
  }

  /** Counts a request that begins to run now; to be called once for each, however often it is retried. */
  count (workspace: WorkspaceId): void {
    this.#counter.count(workspace)
  }

  status (): UsageStatus {
    return {
      isHolder: this.#lease.isHeld,
      newestWritten: this.#written.newest,
      newestAccepted: this.#written.accepted,
      openWindows: this.#collector.openWindows,
      lateRequests: this.#lateRequests,
      incompleteReports: this.#reporter.incompleteReports,
      acceptedReports: this.#dispatcher.acceptedReports,
      failedCalls: this.#dispatcher.failedCalls
    }
  }

  /** Counts what arrived after a window's report was written; on the holder only, to which all instances report. */
  #noteLate (window: number, totals: UsageCounts): void {
    const report = this.#written.copies.find((copy) => copy.window === window)
    if (!this.#lease.isHeld || report === undefined) return
    for (const [workspace, count] of totals) this.#lateRequests += Math.max(0, count - (report.counts.get(workspace) ?? 0))
  }

  #dropThrough (newest: number): void {
    this.#counter.dropThrough(newest - LATE_WINDOWS)
    this.#collector.markWritten(newest)
  }
}

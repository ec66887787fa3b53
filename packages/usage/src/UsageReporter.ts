import { millis } from '@papayahill/common'
import type { Clock, EventLog, Incarnation, Millis, Timer } from '@papayahill/common'
import type { FleetClock } from '@papayahill/reports'
import { COLLECT_AFTER, COLLECT_PERIOD_PER_INSTANCE, MIN_COLLECT_PERIOD, STEP_PERIOD, STORE_RETRY } from './constants.js'
import { USAGE_EVENTS } from './events.js'
import type { ReportDispatcher } from './ReportDispatcher.js'
import type { StoredReports } from './StoredReports.js'
import type { UsageCollector } from './UsageCollector.js'
import type { UsageLease, UsageReport } from './types.js'
import { windowEnd } from './windows.js'
import { windowsToWrite } from './windowsToWrite.js'
import type { WrittenReports } from './WrittenReports.js'

export interface UsageReporterOptions {
  readonly clock: Clock
  readonly fleetClock: Pick<FleetClock, 'now'>
  readonly lease: UsageLease
  readonly usage: UsageCollector
  readonly written: WrittenReports
  readonly stored: StoredReports
  readonly dispatcher: ReportDispatcher
  /** Gets what other instances have collected. */
  readonly collect: () => Promise<void>
  /** Incarnations of the live instances, this one included. */
  readonly live: () => readonly Incarnation[]
  readonly window: Millis
  readonly late: Millis
  readonly log: EventLog
}

/** Writes the reports of complete windows to the store and has them sent. It acts on the holder of the lease only. */
export class UsageReporter {
  readonly #options: UsageReporterOptions
  /** Content of reports, fixed at the first try to write them: an earlier try may still be carried out. */
  readonly #drafts = new Map<number, UsageReport>()
  #heldSince: Millis | undefined
  #hasCollected = false
  #collectedAt = millis(-Infinity)
  #isWriting = false
  #notBefore = millis(0)
  #timer: Timer | undefined
  incompleteReports = 0

  constructor (options: UsageReporterOptions) {
    this.#options = options
  }

  start (): void {
    const { clock, lease } = this.#options
    this.#timer = clock.every(STEP_PERIOD, () => this.#step())
    lease.onChange(() => this.#step())
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #step (): void {
    const { clock, lease, stored, dispatcher } = this.#options
    if (!lease.isHeld) {
      this.#heldSince = undefined
      return
    }
    if (this.#heldSince === undefined) {
      this.#heldSince = clock.now()
      this.#hasCollected = false
      stored.isLoaded = false
    }
    void this.#write()
    if (stored.isLoaded) void dispatcher.run()
  }

  async #write (): Promise<void> {
    const { clock, stored, dispatcher } = this.#options
    if (this.#isWriting || clock.now() < this.#notBefore) return
    this.#isWriting = true
    try {
      const isDone = await this.#prepare() && await this.#writeReports()
      if (!isDone) this.#notBefore = millis(clock.now() + STORE_RETRY)
    } finally {
      this.#isWriting = false
    }
    if (stored.isLoaded && this.#heldSince !== undefined) void dispatcher.run()
  }

  /** Reads the store, and what others have collected, once after taking over. */
  async #prepare (): Promise<boolean> {
    const { clock, collect, stored, log } = this.#options
    const collecting = this.#hasCollected ? undefined : collect()
    this.#hasCollected = true
    if (collecting !== undefined) this.#collectedAt = clock.now()
    const isLoaded = stored.isLoaded || await stored.load()
    await collecting
    const lost = collecting === undefined || !isLoaded ? [] : stored.lost()
    if (lost.length > 0) log.emit(USAGE_EVENTS.reportsLost, { windows: lost.join(' ') })
    return isLoaded
  }

  async #writeReports (): Promise<boolean> {
    const { lease, stored, written, log } = this.#options
    const missing = stored.missing()
    const reports = this.#dueReports()
    if (missing.length + reports.length === 0) return true
    if (!lease.isHeld) return false
    const isWritten = await stored.write([...missing, ...reports])
    if (!isWritten) return false
    written.publish()
    if (missing.length > 0) log.emit(USAGE_EVENTS.reportsRestored, { windows: missing.map(({ window }) => window).join(' ') })
    log.emit(USAGE_EVENTS.reportsWritten, { windows: reports.map(({ window }) => window).join(' ') })
    return true
  }

  #dueReports (): readonly UsageReport[] {
    const { clock, fleetClock, window: length, late, usage } = this.#options
    const first = this.#firstWindow()
    if (first === undefined) return []
    const live = this.#options.live()
    const now = fleetClock.now()
    const heldFor = millis(clock.now() - (this.#heldSince ?? clock.now()))
    const isComplete = (window: number): boolean => usage.isComplete(window, live)
    const isAwaited = (window: number): boolean => usage.isAwaited(window)
    const windows = windowsToWrite({ now, length, late, heldFor, first, isComplete, isAwaited })
    const next = first + windows.length
    if (now >= windowEnd(next, length) + COLLECT_AFTER && (isAwaited(next) || !isComplete(next))) this.#collectMissing(live.length)
    return windows.map((window) => this.#draft(window, isComplete(window)))
  }

  /** The first window to write; windows of which nothing is known are left out. */
  #firstWindow (): number | undefined {
    const { usage, written, log } = this.#options
    const { earliest } = usage
    if (written.newest === undefined || earliest === undefined) return earliest
    const next = written.newest + 1
    if (earliest > next) {
      log.emit(USAGE_EVENTS.windowsUnknown, { from: next, to: earliest - 1 })
      written.noteWritten(earliest - 1)
    }
    return Math.max(earliest, next)
  }

  #draft (window: number, isComplete: boolean): UsageReport {
    const { usage, written, log } = this.#options
    const known = this.#drafts.get(window)
    if (known !== undefined) return known
    for (const other of this.#drafts.keys()) if (other <= (written.newest ?? -1)) this.#drafts.delete(other)
    const draft = { window, counts: usage.totals(window) }
    this.#drafts.set(window, draft)
    if (!isComplete) {
      this.incompleteReports++
      log.emit(USAGE_EVENTS.reportIncomplete, { window })
    }
    return draft
  }

  /** Instances that do not reach this one report to another receiver, whose reports are fetched. */
  #collectMissing (instances: number): void {
    const { clock, collect } = this.#options
    const period = Math.max(MIN_COLLECT_PERIOD, instances * COLLECT_PERIOD_PER_INSTANCE)
    if (clock.now() - this.#collectedAt < period) return
    this.#collectedAt = clock.now()
    void collect()
  }
}

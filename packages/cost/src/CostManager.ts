import { microUnits } from '@papayahill/common'
import type {
  ClassId, Clock, EventLog, Failure, Incarnation, InstanceId, MicroUnits, RequestRecord, ServiceId, StageRecord, Timer, WorkspaceId
} from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { RowKey, TableService } from '@papayahill/stores'
import type { OperatorConfig } from '@papayahill/settings'
import type { Result } from 'true-myth'
import { BudgetManager } from './BudgetManager.js'
import { callCost } from './callCost.js'
import { BACKUP_DELAY, BUDGET_PERIOD, FLUSH_PERIOD, RECOVER_PERIOD } from './constants.js'
import { dayOf, daysBetween, hourOf } from './dayOf.js'
import { COST_EVENTS } from './events.js'
import { Ledger } from './Ledger.js'
import type { Chunk, MeteredCall } from './Ledger.js'
import { LedgerBackup } from './LedgerBackup.js'
import { rowOfLine } from './LedgerLine.js'
import type { LineUse } from './LedgerLine.js'
import { dayOfRow, ledgerRowKey, LedgerStore } from './LedgerStore.js'
import type { DayLines } from './LedgerStore.js'
import { LineSet } from './LineSet.js'
import { PeerBackups } from './PeerBackups.js'
import { rowKeyOf, sumRows } from './sumRows.js'
import type { BudgetForecast, Cost, CostRow } from './types.js'
import { isMetered, wasteOfRequest, wasteOfStage } from './wasteCauseOf.js'

export interface CostManagerOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly table: TableService
  readonly peers: Peers
  /** The operators' configuration in force. */
  readonly config: () => OperatorConfig
  readonly log: EventLog
}

/**
 * Meters every stage call, enforces budgets and forecasts their spend.
 *
 * @example
 * const cost = new CostManager({ self, incarnation, clock, table, peers, config: () => config.view().config, log })
 * cost.start()
 */
export class CostManager implements Cost {
  readonly #options: CostManagerOptions
  readonly #ledger = new Ledger()
  readonly #store: LedgerStore
  readonly #backup: LedgerBackup
  readonly #peerBackups: PeerBackups
  readonly #budgets: BudgetManager
  readonly #unpriced = new Set<ServiceId>()
  #timers: readonly Timer[] = []
  #flushing: Promise<void> | undefined
  #isFlushFailing = false
  #backupTimer: Timer | undefined

  constructor (options: CostManagerOptions) {
    this.#options = options
    this.#store = new LedgerStore(options.table)
    this.#backup = new LedgerBackup({ ...options, ledger: this.#ledger })
    this.#peerBackups = new PeerBackups({ ...options, unrecorded: () => this.#backup.unrecorded() })
    this.#budgets = new BudgetManager({ ...options, readDay: (day) => this.#readDay(day) })
  }

  start (): void {
    const { clock } = this.#options
    if (this.#timers.length > 0) return
    this.#timers = [
      clock.every(FLUSH_PERIOD, () => { void this.flush() }),
      clock.every(RECOVER_PERIOD, () => { void this.#recover() }),
      clock.every(BUDGET_PERIOD, () => { void this.#budgets.refresh() })
    ]
    void this.#budgets.refresh()
  }

  stop (): void {
    for (const timer of this.#timers) timer.cancel()
    this.#timers = []
    this.#backupTimer?.cancel()
  }

  check (workspace: WorkspaceId, classId: ClassId): Result<void, Failure> {
    return this.#budgets.check(workspace, classId)
  }

  async rows (fromDay: string, toDay: string): Promise<readonly CostRow[]> {
    const rows: CostRow[] = []
    const unrecorded = await this.#peerBackups.collect()
    for (const day of daysBetween(fromDay, toDay)) {
      const lines: DayLines = await this.#store.readDay(day) ?? new Map()
      this.#mergeOwn(day, lines)
      for (const { row, lines: backup } of unrecorded) if (dayOfRow(row) === day) lineSetOf(lines, row).merge(backup)
      for (const set of lines.values()) {
        for (const line of set.lines) rows.push(rowOfLine(day, line))
      }
    }
    return sumRows(rows, rowKeyOf).filter(({ calls, cost }) => calls !== 0 || cost !== 0)
  }

  forecasts (): readonly BudgetForecast[] {
    return this.#budgets.forecasts()
  }

  /** Runs one flush at a time. A concurrent call waits for the running flush, then flushes what was added since. */
  async flush (): Promise<void> {
    await this.#flushing
    this.#flushing ??= this.#flush().finally(() => { this.#flushing = undefined })
    await this.#flushing
  }

  stageEnded (record: StageRecord): void {
    if (!isMetered(record)) return
    const cost = this.#priceOf(record)
    this.#count(record, wasteOfStage(record) ?? 'needed', cost)
    this.#budgets.recordSpend(record, cost)
  }

  /** Moves work that was counted as needed to waste if its request got no answer. */
  requestEnded (record: RequestRecord, stages: readonly StageRecord[]): void {
    const cause = wasteOfRequest(record)
    if (cause === undefined) return
    for (const stage of stages) {
      if (!isMetered(stage) || wasteOfStage(stage) !== undefined) continue
      const cost = this.#priceOf(stage)
      this.#count(stage, 'not-needed', cost)
      this.#count(stage, cause, cost)
    }
  }

  #count (record: StageRecord, use: LineUse, cost: MicroUnits): void {
    const now = this.#options.clock.wall()
    const { workspace, class: classId, call, service, usage } = record
    const id = { workspace, class: classId, stage: call.stage, service, use }
    const metered: MeteredCall = { day: dayOf(now), hour: hourOf(now), id, usage, cost }
    this.#ledger.count(metered)
    this.#backupTimer ??= this.#options.clock.after(BACKUP_DELAY, () => this.#sendBackup())
  }

  #priceOf ({ service, usage }: StageRecord): MicroUnits {
    const prices = this.#options.config().services.get(service)?.prices
    if (prices !== undefined) return callCost(prices, usage)
    if (!this.#unpriced.has(service)) this.#options.log.emit(COST_EVENTS.unpricedService, { service })
    this.#unpriced.add(service)
    return microUnits(0)
  }

  #sendBackup (): void {
    this.#backupTimer = undefined
    this.#backup.send()
  }

  async #flush (): Promise<void> {
    for (const chunk of [...this.#ledger.chunks]) {
      if (!chunk.isRecorded) await this.#flushChunk(chunk)
    }
    this.#ledger.trim(dayOf(this.#options.clock.wall()))
  }

  async #flushChunk (chunk: Chunk): Promise<void> {
    const { incarnation, log } = this.#options
    chunk.beginWrite()
    const key = ledgerRowKey(chunk.day, incarnation, chunk.index)
    const version = await this.#store.merge(key, chunk.lines, chunk.rowVersion)
    chunk.endWrite(version)
    if (version !== undefined) this.#backup.sendRecorded(chunk)
    else if (!this.#isFlushFailing) log.emit(COST_EVENTS.flushFailed, { row: key })
    this.#isFlushFailing = version === undefined
  }

  async #recover (): Promise<void> {
    const lines = await this.#peerBackups.recover(this.#store)
    if (lines > 0) this.#options.log.emit(COST_EVENTS.deadMeterRecorded, { lines })
  }

  async #readDay (day: string): Promise<DayLines | undefined> {
    const found = await this.#store.readDay(day)
    if (found !== undefined) this.#mergeOwn(day, found)
    return found
  }

  #mergeOwn (day: string, rows: DayLines): void {
    for (const chunk of this.#ledger.chunks) {
      if (chunk.day === day) lineSetOf(rows, ledgerRowKey(day, this.#options.incarnation, chunk.index)).merge(chunk.lines)
    }
  }
}

const lineSetOf = (rows: DayLines, key: RowKey): LineSet => {
  const set = rows.get(key) ?? new LineSet()
  rows.set(key, set)
  return set
}

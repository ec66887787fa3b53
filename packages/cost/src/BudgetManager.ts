import { hash32, millis, refusal } from '@papayahill/common'
import type { ClassId, Clock, EventKind, EventLog, Failure, InstanceId, MicroUnits, StageRecord, WorkspaceId } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { BudgetAction, BudgetSettings, ClassSettings, OperatorConfig } from '@papayahill/settings'
import { Result } from 'true-myth'
import { BudgetAccount, budgetKey } from './BudgetAccount.js'
import type { BudgetNotice } from './BudgetAccount.js'
import { DEFERRABLE_DEADLINE, HISTORY_DAYS } from './constants.js'
import { addDays, dayOf, monthOf, startOfDay } from './dayOf.js'
import { COST_EVENTS } from './events.js'
import type { LedgerLine } from './LedgerLine.js'
import type { DayLines } from './LedgerStore.js'
import type { BudgetForecast } from './types.js'

export interface BudgetManagerOptions {
  readonly self: InstanceId
  readonly clock: Clock
  readonly peers: Peers
  readonly config: () => OperatorConfig
  readonly log: EventLog
  /** Reads a day's ledger lines of all instances; undefined if the store did not answer. */
  readonly readDay: (day: string) => Promise<DayLines | undefined>
}

/** Whether requests of a class may be deferred to another day, because no user is waiting for the answer. */
const isDeferrable = (settings: ClassSettings | undefined): boolean =>
  settings !== undefined && settings.repeatable && settings.target.firstChunk === undefined &&
  settings.target.deadline > DEFERRABLE_DEADLINE

type RefusalRule = (settings: ClassSettings | undefined) => boolean

const REFUSALS: Readonly<Record<BudgetAction, RefusalRule>> = {
  warn: () => false,
  'refuse-what-can-wait': isDeferrable,
  refuse: () => true
}

const NOTICE_EVENTS: Readonly<Record<Exclude<BudgetNotice, 'nothing'>, EventKind>> = {
  forecast: COST_EVENTS.budgetForecast,
  calm: COST_EVENTS.budgetCalm,
  passed: COST_EVENTS.budgetPassed
}

/**
 * Compares budgets with the spend of all instances, reports in advance which ones will be exceeded, and applies
 * the action that operators configured to new requests once a budget is used up.
 *
 * @example
 * const budgets = new BudgetManager({ self, clock, peers, config, log, readDay })
 * await budgets.refresh()
 * budgets.check(workspace, classId)
 */
export class BudgetManager {
  readonly #options: BudgetManagerOptions
  readonly #accounts = new Map<string, BudgetAccount>()
  readonly #accountsByWorkspace = new Map<WorkspaceId, BudgetAccount[]>()
  #settings: readonly BudgetSettings[] = []
  #isRefreshing = false

  constructor (options: BudgetManagerOptions) {
    this.#options = options
  }

  /** Refuses a new request if a used-up budget requires it. Running requests are not checked. */
  check (workspace: WorkspaceId, classId: ClassId): Result<void, Failure> {
    for (const account of this.#accountsByWorkspace.get(workspace) ?? []) {
      if (account.isUsedUp && this.#affects(account, classId) && this.#refuses(account, classId)) return Result.err(this.#failure(account))
    }
    return Result.ok(undefined)
  }

  /** Counts spend of this instance immediately. */
  recordSpend ({ workspace, class: classId, call }: StageRecord, cost: MicroUnits): void {
    for (const account of this.#accountsByWorkspace.get(workspace) ?? []) {
      if (account.covers(classId, call.stage)) account.addOwnSpend(cost)
    }
  }

  /** Forecasts of the budgets that will be exceeded or already were. */
  forecasts (): readonly BudgetForecast[] {
    const now = this.#options.clock.wall()
    return [...this.#accounts.values()]
      .map((account) => account.toForecast(now))
      .filter(({ passesAt, spent, budget }) => passesAt !== undefined || spent >= budget.limit)
  }

  /** Reads the recorded spend and recomputes the forecasts. */
  async refresh (): Promise<void> {
    this.#syncSettings()
    if (this.#accounts.size === 0 || this.#isRefreshing) return
    this.#isRefreshing = true
    try {
      await this.#loadPastDays()
      await this.#loadToday()
    } finally {
      this.#isRefreshing = false
    }
  }

  #syncSettings (): void {
    const { budgets } = this.#options.config()
    if (budgets === this.#settings) return
    this.#settings = budgets
    const known = new Map(this.#accounts)
    this.#accounts.clear()
    this.#accountsByWorkspace.clear()
    for (const budget of budgets) {
      const key = budgetKey(budget)
      const account = known.get(key) ?? new BudgetAccount(budget)
      this.#accounts.set(key, account)
      this.#accountsByWorkspace.set(budget.workspace, [...this.#accountsByWorkspace.get(budget.workspace) ?? [], account])
    }
  }

  /** Reads past days, oldest first, and skips those that every account already has. */
  async #loadPastDays (): Promise<void> {
    const today = dayOf(this.#options.clock.wall())
    const monthStart = `${monthOf(today)}-01`
    const first = [addDays(today, -HISTORY_DAYS), monthStart].sort()[0]!
    for (let day = first; day < today; day = addDays(day, 1)) {
      const missing = [...this.#accounts.values()].filter(({ forecaster }) => forecaster.profile.lastDay < day)
      if (missing.length === 0) continue
      const lines = await this.#options.readDay(day)
      if (lines === undefined) return
      if (lines.size > 0) this.#distribute(lines, (account, own) => { if (missing.includes(account)) account.addPastDay(day, own) })
    }
  }

  async #loadToday (): Promise<void> {
    const { clock, readDay } = this.#options
    const today = dayOf(clock.wall())
    const lines = await readDay(today)
    if (lines !== undefined) this.#distribute(lines, (account, own) => account.setToday(today, own))
    for (const account of this.#accounts.values()) this.#evaluate(account)
  }

  /** Calls `apply` for each account with the lines it covers. */
  #distribute (rows: DayLines, apply: (account: BudgetAccount, lines: readonly LedgerLine[]) => void): void {
    const linesOf = new Map<BudgetAccount, LedgerLine[]>()
    for (const set of rows.values()) {
      for (const line of set.lines) {
        for (const account of this.#accountsByWorkspace.get(line.id.workspace) ?? []) {
          if (!account.covers(line.id.class, line.id.stage)) continue
          const lines = linesOf.get(account) ?? []
          lines.push(line)
          linesOf.set(account, lines)
        }
      }
    }
    for (const account of this.#accounts.values()) apply(account, linesOf.get(account) ?? [])
  }

  #evaluate (account: BudgetAccount): void {
    const now = this.#options.clock.wall()
    const isCertain = account.evaluate(now)
    if (account.isUsedUp) return this.#notify(account, 'passed')
    if (isCertain && account.lastNotice === 'nothing') this.#notify(account, 'forecast')
    if (account.isForecastWithinLimit && account.lastNotice === 'forecast') this.#notify(account, 'calm')
  }

  #notify (account: BudgetAccount, notice: Exclude<BudgetNotice, 'nothing'>): void {
    if (account.lastNotice === notice) return
    account.lastNotice = notice
    if (!this.#isReporter(account)) return
    const { budget, spent, forecast, passesAt, driver } = account.toForecast(this.#options.clock.wall())
    this.#options.log.emit(NOTICE_EVENTS[notice], {
      workspace: budget.workspace,
      class: budget.class,
      stage: budget.stage,
      period: budget.period,
      limit: budget.limit,
      spent,
      forecast,
      passesAt: passesAt === undefined ? undefined : new Date(passesAt).toISOString(),
      driverClass: driver?.class,
      driverStage: driver?.stage
    })
  }

  /** Whether this instance logs notices of a budget. All instances pick the same one by rank. */
  #isReporter ({ budget }: BudgetAccount): boolean {
    const { self, peers } = this.#options
    const rank = (id: InstanceId): number => hash32(`${budgetKey(budget)} ${id}`)
    return peers.members().every(({ id }) => id === self || rank(id) > rank(self))
  }

  #affects ({ budget }: BudgetAccount, classId: ClassId): boolean {
    if (budget.class !== undefined && budget.class !== classId) return false
    return budget.stage === undefined || this.#hasStage(classId, budget.stage)
  }

  #hasStage (classId: ClassId, stage: NonNullable<BudgetSettings['stage']>): boolean {
    const { classes, pipelines } = this.#options.config()
    const pipeline = classes.get(classId)?.pipeline
    const stages = pipeline === undefined ? undefined : pipelines.get(pipeline)?.stages
    return stages?.some(({ id }) => id === stage) ?? false
  }

  #refuses ({ budget }: BudgetAccount, classId: ClassId): boolean {
    return REFUSALS[budget.atLimit](this.#options.config().classes.get(classId))
  }

  #failure ({ budget }: BudgetAccount): Failure {
    const now = this.#options.clock.wall()
    const today = dayOf(now)
    const next = budget.period === 'day' ? addDays(today, 1) : `${monthOf(addDays(`${monthOf(today)}-01`, 31))}-01`
    const scope = [budget.class, budget.stage].filter((part) => part !== undefined).join('/')
    const detail = `the budget of ${budget.workspace}${scope === '' ? '' : ` for ${scope}`} is used up until ${next}`
    return refusal('over-budget', detail, { retryAfter: millis(startOfDay(next) - now) })
  }
}

import { microUnits } from '@papayahill/common'
import type {
  ClassId, Clock, EventLog, Failure, Incarnation, InstanceId, RequestRecord, StageRecord, WorkspaceId
} from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { TableService } from '@papayahill/platform'
import type { OperatorConfig } from '@papayahill/settings'
import { Result } from 'true-myth'
import { callCost } from './callCost.js'
import { dayOf } from './dayOf.js'
import type { BudgetForecast, Cost, CostRow } from './types.js'

export interface CostKeeperOptions {
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
 * Meters every stage call, keeps budgets and forecasts what they will come to.
 *
 * @example
 * const cost = new CostKeeper({ self, incarnation, clock, table, peers, config: () => log.view().config, log: events })
 * cost.start()
 */
export class CostKeeper implements Cost {
  readonly #options: CostKeeperOptions
  readonly #rows: CostRow[] = []

  constructor (options: CostKeeperOptions) {
    this.#options = options
  }

  start (): void {}

  stop (): void {}

  check (workspace: WorkspaceId, classId: ClassId): Result<void, Failure> {
    void workspace
    void classId
    return Result.ok(undefined)
  }

  rows (fromDay: string, toDay: string): Promise<readonly CostRow[]> {
    return Promise.resolve(this.#rows.filter(({ day }) => fromDay <= day && day <= toDay))
  }

  forecasts (): readonly BudgetForecast[] {
    return []
  }

  flush (): Promise<void> {
    return Promise.resolve()
  }

  stageEnded (record: StageRecord): void {
    const prices = this.#options.config().services.get(record.service)?.prices
    const { workspace, class: classId, service, usage } = record
    this.#rows.push({
      day: dayOf(this.#options.clock.wall()),
      workspace,
      class: classId,
      stage: record.call.stage,
      service,
      use: record.waste ?? 'needed',
      calls: 1,
      usage,
      cost: prices === undefined ? microUnits(0) : callCost(prices, usage)
    })
  }

  requestEnded (record: RequestRecord, stages: readonly StageRecord[]): void {
    void record
    void stages
  }
}

import type {
  ClassId, EpochMillis, Failure, MicroUnits, ServiceId, ServingObserver, StageId, StageUsage, WasteCause, WorkspaceId
} from '@papayahill/common'
import type { BudgetSettings } from '@papayahill/settings'
import type { Result } from 'true-myth'

/** `needed` work contributed to an answer; everything else is waste, by cause. */
export type CostUse = 'needed' | WasteCause

/** A line of the cost table: what one workspace, class and stage used in one day. */
export interface CostRow {
  /** Calendar day in UTC, such as `2027-01-04`. */
  readonly day: string
  readonly workspace: WorkspaceId
  readonly class: ClassId
  readonly stage: StageId
  readonly service: ServiceId
  readonly use: CostUse
  readonly calls: number
  readonly usage: StageUsage
  readonly cost: MicroUnits
}

/** Spend and forecast of a budget. */
export interface BudgetForecast {
  readonly budget: BudgetSettings
  readonly spent: MicroUnits
  readonly forecast: MicroUnits
  /** When the limit will be exceeded at the present rate; undefined if it will not. */
  readonly passesAt: EpochMillis | undefined
  /** The class and stage that drive the spend. */
  readonly driver: { readonly class: ClassId, readonly stage: StageId } | undefined
}

export interface Cost extends ServingObserver {
  /** Refuses a new request if the action of a used-up budget requires it. */
  check (workspace: WorkspaceId, classId: ClassId): Result<void, Failure>
  /** Rows of all instances, recorded or not yet flushed, each counted once. */
  rows (fromDay: string, toDay: string): Promise<readonly CostRow[]>
  forecasts (): readonly BudgetForecast[]
  /** Writes everything that is not recorded yet; called before a planned stop. */
  flush (): Promise<void>
}

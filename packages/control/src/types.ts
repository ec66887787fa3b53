import type {
  DomainId, Failure, Incarnation, InstanceId, Millis, OperatorName, ServiceId, VersionId
} from '@papayahill/common'
import type {
  BudgetSettings, ClassSettings, DomainSettings, MoveSettings, OperatorConfig, PipelineSettings, ServiceSettings, WorkspaceSettings
} from '@papayahill/settings'
import type { Result } from 'true-myth'

export interface RosterMember {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  /** Roster version at which this life joined. */
  readonly joinedAt: number
}

/** A life that left the roster, kept for a while so that skipped versions hide nobody. */
export interface DepartedMember extends RosterMember {
  readonly departedAt: number
}

/** This instance's copy of the roster record. */
export interface RosterView {
  readonly version: number
  readonly members: readonly RosterMember[]
  readonly departed: readonly DepartedMember[]
  /** Local monotonic time at which the read that confirmed this copy began; undefined before the first. */
  readonly confirmedAt: Millis | undefined
}

export interface Roster {
  view (): RosterView
  /** Age of the copy by the local monotonic clock; Infinity before the first confirmed read. */
  age (): Millis
  /** Whether this life of this instance is in the roster, as last read. */
  isMember (): boolean
  onChange (listener: (view: RosterView) => void): void
}

/** One change to the operators' configuration. `apply` sends several in one accepted version. */
export type ConfigChange =
  | { readonly kind: 'replace', readonly config: OperatorConfig }
  | { readonly kind: 'put-service', readonly service: ServiceSettings }
  | { readonly kind: 'put-pipeline', readonly pipeline: PipelineSettings }
  | { readonly kind: 'put-class', readonly class: ClassSettings }
  | { readonly kind: 'put-workspace', readonly workspace: WorkspaceSettings }
  | { readonly kind: 'put-domain', readonly domain: DomainSettings }
  | { readonly kind: 'put-budgets', readonly budgets: readonly BudgetSettings[] }
  | { readonly kind: 'domain-out', readonly domain: DomainId }
  | { readonly kind: 'domain-in', readonly domain: DomainId }
  | { readonly kind: 'move-start', readonly move: Omit<MoveSettings, 'startedAt' | 'from'> }
  | { readonly kind: 'move-stop', readonly service: ServiceId }
  | { readonly kind: 'move-done', readonly service: ServiceId, readonly version: VersionId }

export interface ConfigView {
  readonly version: number
  readonly config: OperatorConfig
  /** Who had the newest change accepted. */
  readonly author: OperatorName | undefined
  /** Domains taken out by a latch that the store has not recorded yet. */
  readonly unrecordedOuts: ReadonlySet<DomainId>
}

export interface Accepted {
  readonly version: number
  /** False where a domain's out is in force by latch but the store has not recorded it yet. */
  readonly isRecorded: boolean
}

/** The version that each instance of the roster reports to be in force. */
export interface InForce {
  readonly instance: InstanceId
  readonly version: number
}

export interface ConfigLog {
  view (): ConfigView
  /**
   * Proposes changes on top of `base`; `base` undefined means on top of whatever is newest.
   * A lost race answers `conflict` and names the version and author that won.
   */
  propose (changes: readonly ConfigChange[], author: OperatorName, base?: number): Promise<Result<Accepted, Failure>>
  inForce (): readonly InForce[]
  onChange (listener: (view: ConfigView) => void): void
}

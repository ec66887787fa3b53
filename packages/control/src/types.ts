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
  /** Roster version at which this incarnation joined. */
  readonly joinedAt: number
}

/** An incarnation that left the roster, retained so that a reader that skips versions does not miss it. */
export interface DepartedMember extends RosterMember {
  /** Roster version at which it left. */
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
  /** Whether this incarnation of this instance is in the roster copy. */
  isMember (): boolean
  onChange (listener: (view: RosterView) => void): void
}

/** One change to the operators' configuration; one accepted version can contain several. */
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
  /** Author of the newest accepted change. */
  readonly author: OperatorName | undefined
  /** Domains taken out by a latch that the store has not recorded yet. */
  readonly unrecordedOuts: ReadonlySet<DomainId>
}

export interface Accepted {
  readonly version: number
  /** False if a domain-out is in force by latch but not recorded in the store yet. */
  readonly isRecorded: boolean
}

/** The version in force on one instance of the roster, as reported by it. */
export interface InForce {
  readonly instance: InstanceId
  readonly version: number
}

export interface ConfigLog {
  view (): ConfigView
  /**
   * Proposes changes based on version `base`, or on the newest version if `base` is undefined.
   * Fails with `conflict` and the newest version and author if another change came first.
   */
  propose (changes: readonly ConfigChange[], author: OperatorName, base?: number): Promise<Result<Accepted, Failure>>
  inForce (): readonly InForce[]
  onChange (listener: (view: ConfigView) => void): void
}

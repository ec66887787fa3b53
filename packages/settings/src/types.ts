import type {
  ClassId, DomainId, InstanceId, Millis, MicroUnits, PipelineId, RegionId, ServiceId, StageId, VersionId, WorkspaceId
} from '@papayahill/common'

export type ServiceKind = 'engine' | 'encoder' | 'retriever' | 'reranker' | 'plain'

/** Prices of a service's work. */
export interface Prices {
  readonly perCall: MicroUnits
  readonly perSecond: MicroUnits
  readonly perThousandTokensIn: MicroUnits
  readonly perThousandTokensCached: MicroUnits
  readonly perThousandTokensOut: MicroUnits
}

/** A pool of endpoints that do the same work. */
export interface ServiceSettings {
  readonly id: ServiceId
  readonly kind: ServiceKind
  readonly prices: Prices
  /** Whether endpoints refuse an order with an outdated fencing token. */
  readonly checksFencing: boolean
  /** Whether endpoints can be queried for the outcome of an idempotency key. */
  readonly statusLookup: boolean
  /** Timeout of a single call, even if the deadline allows more. */
  readonly callTimeout: Millis
  /** The version that serves while no move is in progress. */
  readonly version: VersionId
}

export interface StageSettings {
  readonly id: StageId
  readonly service: ServiceId
}

export interface PipelineSettings {
  readonly id: PipelineId
  readonly stages: readonly StageSettings[]
}

/** Service-level objective of a class, set by operators. */
export interface Target {
  readonly deadline: Millis
  readonly firstChunk?: Millis
  readonly betweenChunks?: Millis
  /** Share of requests that must meet the target, such as 0.95. */
  readonly attainment: number
}

export interface ClassSettings {
  readonly id: ClassId
  readonly pipeline: PipelineId
  readonly target: Target
  /** Whether a request may safely run more than once. */
  readonly repeatable: boolean
  /** Whether requests must have an idempotency key. True by default for classes that are not repeatable. */
  readonly keyRequired: boolean
  /** Whether the answer of the last stage may be streamed. */
  readonly streamed: boolean
}

export type BudgetPeriod = 'day' | 'month'

/** What happens to new requests once a budget is used up. Running requests are never cancelled. */
export type BudgetAction = 'warn' | 'refuse-what-can-wait' | 'refuse'

export interface BudgetSettings {
  readonly workspace: WorkspaceId
  readonly class?: ClassId
  readonly stage?: StageId
  readonly period: BudgetPeriod
  readonly limit: MicroUnits
  readonly atLimit: BudgetAction
}

export interface WorkspaceSettings {
  readonly id: WorkspaceId
  /** Classes that the workspace may use; all if absent. */
  readonly classes?: readonly ClassId[]
}

export interface DomainSettings {
  readonly id: DomainId
  readonly region: RegionId
}

/** A move requested by operators: the progressive rollout of a service's new version. */
export interface MoveSettings {
  readonly service: ServiceId
  readonly from: VersionId
  readonly to: VersionId
  /** Time by which all traffic must have moved, in Unix milliseconds. */
  readonly by: number
  /** Configuration version at which the move was started; distinguishes repeated moves to the same version. */
  readonly startedAt: number
}

/** The operators' configuration, set by `papayahill apply` and in force on every instance. */
export interface OperatorConfig {
  readonly services: ReadonlyMap<ServiceId, ServiceSettings>
  readonly pipelines: ReadonlyMap<PipelineId, PipelineSettings>
  readonly classes: ReadonlyMap<ClassId, ClassSettings>
  readonly workspaces: ReadonlyMap<WorkspaceId, WorkspaceSettings>
  readonly domains: ReadonlyMap<DomainId, DomainSettings>
  readonly budgets: readonly BudgetSettings[]
  /** Failure domains that operators have taken out. */
  readonly domainsOut: ReadonlySet<DomainId>
  readonly moves: ReadonlyMap<ServiceId, MoveSettings>
}

export interface ListenAddress {
  /** An IP address, never a host name. */
  readonly ip: string
  readonly port: number
}

export interface InstanceLimits {
  readonly bodyBytes: number
  readonly headerBytes: number
  readonly connections: number
  /** Bytes of an answer that may be buffered for a slow caller; bounds the memory that such callers take. */
  readonly slowCallerBytes: number
  /** Time that a slow caller has to read its buffered bytes before it is disconnected. */
  readonly slowCallerPatience: Millis
}

/** Secrets, read from files or environment variables and never logged. */
export interface InstanceSecrets {
  readonly peers: string
  /** Operators' tokens by name. */
  readonly operators: ReadonlyMap<string, string>
  /** Callers' tokens by workspace; a workspace without a token does not require one. */
  readonly workspaces: ReadonlyMap<WorkspaceId, string>
}

/** Settings of one instance, from its own file. */
export interface InstanceSettings {
  readonly id: InstanceId
  readonly domain: DomainId
  readonly region: RegionId
  readonly callers: ListenAddress
  readonly operators: ListenAddress
  readonly peers: ListenAddress
  readonly table: string
  readonly objects: string
  readonly instanceList: string
  readonly limits: InstanceLimits
  readonly secrets: InstanceSecrets
}

import type {
  ClassId, DomainId, IdempotencyKey, InstanceId, Json, RequestId, RunStatus, ServiceId, VersionId, WorkspaceId, ErrorKind, Millis
} from '@papayahill/common'
import type { OperatorConfig, ServiceKind } from '@papayahill/settings'
import type { WorkModel } from '@papayahill/standins'

/** A group of identical endpoints of one service in one failure domain. */
export interface EndpointPlan {
  readonly service: ServiceId
  readonly kind: ServiceKind
  readonly version: VersionId
  readonly domain: DomainId
  readonly count: number
  readonly model?: WorkModel
  /** Whether the endpoints are already warm when the session starts. */
  readonly isWarm?: boolean
}

/** Initial state of a deployment. */
export interface DeploymentPlan {
  readonly config: OperatorConfig
  readonly endpoints: readonly EndpointPlan[]
  readonly instances: number
}

/** One request, as a caller sends it. */
export interface CallerPlan {
  readonly workspace: WorkspaceId
  readonly class: ClassId
  readonly body: Json
  readonly key?: IdempotencyKey
  readonly isStreamed?: boolean
  /** Instance to send to; by default the ready instances in turn. */
  readonly to?: InstanceId
  readonly signal?: AbortSignal
}

/** Result of a request as its caller saw it; `cut` means that the connection broke before the final answer. */
export interface CallerAnswer {
  readonly request: RequestId
  readonly instance: InstanceId
  readonly outcome: 'answered' | 'refused' | 'failed' | 'cut'
  readonly body?: Json
  readonly chunks: readonly number[]
  readonly text: string
  readonly error?: ErrorKind
  readonly detail?: string
  readonly run?: RunStatus
  readonly retryAfter?: Millis
  readonly isReplayed?: boolean
  readonly took: Millis
}

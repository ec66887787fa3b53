import type {
  ClassId, DomainId, ErrorKind, IdempotencyKey, Millis, RequestId, RunStatus, ServiceId, WorkspaceId
} from '@papayahill/common'
import type { OperatorConfig } from '@papayahill/settings'
import type { WorkModel } from '@papayahill/standins'

export interface ServicePlan {
  readonly service: ServiceId
  readonly replicas: number
  readonly model: WorkModel
}

/** Size and traffic of a deployment. */
export interface Deployment {
  readonly name: string
  readonly domains: readonly DomainId[]
  readonly instances: number
  readonly config: OperatorConfig
  readonly services: readonly ServicePlan[]
  /** Relative share of requests by class. */
  readonly mix: ReadonlyMap<ClassId, number>
  readonly workspaces: ReadonlyMap<WorkspaceId, number>
}

/** One request, as recorded by its caller. */
export interface CallerRecord {
  readonly request: RequestId
  readonly class: ClassId
  readonly workspace: WorkspaceId
  readonly key: IdempotencyKey | undefined
  readonly sentAt: Millis
  endedAt?: Millis
  firstChunkAt?: Millis
  lastChunkAt?: Millis
  worstGap: Millis
  chunks: number[]
  outcome?: 'answered' | 'refused' | 'failed'
  error?: ErrorKind
  run?: RunStatus
  retryAfter?: Millis
  isWhole: boolean
}

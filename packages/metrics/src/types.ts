import type { ClassId, Millis, ServingObserver, StageId, WorkspaceId } from '@papayahill/common'

/** Attainment of a class over a time window, of one workspace or of all. */
export interface Attainment {
  readonly class: ClassId
  readonly workspace: WorkspaceId | undefined
  readonly requests: number
  readonly met: number
  readonly refused: number
  readonly failed: number
  readonly p50: Millis
  readonly p95: Millis
  readonly p99: Millis
  /** The stage that took the most time of the requests that missed their target. */
  readonly blame: StageId | undefined
}

export interface Metrics extends ServingObserver {
  attainment (window: Millis): readonly Attainment[]
  /** Text in the Prometheus exposition format. */
  exposition (): Promise<string>
}

import type { ClassId, EpochMillis, ServiceId, ServingObserver, StageId, VersionId } from '@papayahill/common'

/** The class and stage that call a service; evidence is evaluated separately for each route. */
export interface Route {
  readonly class: ClassId
  readonly stage: StageId
}

export type MoveState = 'moving' | 'waiting-for-traffic' | 'waiting-for-capacity' | 'late' | 'done' | 'taken-back' | 'stopped'

/** Status of a move, the progressive rollout of a new version of a service; `taken-back` means rolled back. */
export interface MoveStatus {
  readonly service: ServiceId
  readonly from: VersionId
  readonly to: VersionId
  readonly by: EpochMillis
  readonly state: MoveState
  /** Share of new calls that the new version gets, from 0 to 1. */
  readonly share: number
  /** Evidence or reason, for operators. */
  readonly because: string
  /** Whether the store has recorded this state. */
  readonly isRecorded: boolean
}

export interface Moves extends ServingObserver {
  /** Versions that may serve a call now, the preferred one first. */
  versionsFor (service: ServiceId, route: Route): readonly VersionId[]
  status (): readonly MoveStatus[]
}

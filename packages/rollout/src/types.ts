import type { ClassId, EpochMillis, ServiceId, ServingObserver, StageId, VersionId } from '@papayahill/common'

/** Where one service is called from: evidence is judged for each route on its own. */
export interface Route {
  readonly class: ClassId
  readonly stage: StageId
}

export type MoveState = 'moving' | 'waiting-for-traffic' | 'waiting-for-capacity' | 'late' | 'done' | 'taken-back' | 'stopped'

export interface MoveStatus {
  readonly service: ServiceId
  readonly from: VersionId
  readonly to: VersionId
  readonly by: EpochMillis
  readonly state: MoveState
  /** Share of new calls that the new version gets, from 0 to 1. */
  readonly share: number
  /** Evidence or cause in words and numbers. */
  readonly because: string
  /** Whether the store has recorded this state. */
  readonly isRecorded: boolean
}

export interface Moves extends ServingObserver {
  /** Versions that may serve a call now, the preferred first. */
  versionsFor (service: ServiceId, route: Route): readonly VersionId[]
  status (): readonly MoveStatus[]
}

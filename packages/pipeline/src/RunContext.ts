import type { ClassId, Clock, EventLog, MovingMeans, Random, ServiceId, StageRecord, VersionId } from '@papayahill/common'
import type { Claims } from '@papayahill/claims'
import type { Scheduler } from '@papayahill/scheduling'
import type { PrefixQuarantine } from './PrefixQuarantine.js'
import type { StageCaller } from './StageCaller.js'
import type { Route } from './StagePlan.js'

/** Dependencies shared by all requests of an instance. */
export interface RunContext {
  readonly clock: Clock
  readonly random: Random
  readonly scheduler: Scheduler
  readonly claims: Claims
  readonly versionsFor: (service: ServiceId, route: Route) => readonly VersionId[]
  readonly log: EventLog
  readonly caller: StageCaller
  /** Time from a call's start to its first chunk. */
  readonly firstChunks: MovingMeans<ClassId>
  readonly prefixes: PrefixQuarantine
  /** Called when a stage call has ended. */
  readonly stageEnded: (record: StageRecord) => void
}

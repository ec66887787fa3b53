import type { StageContext } from '@papayahill/batching'
import type { ArrivalReader, Clock, DomainId, EventLog, Random } from '@papayahill/common'
import type { EndpointDirectory } from '@papayahill/directory'
import type { SharedRateLimiter } from '@papayahill/limits'
import type { EndpointPerformance } from '@papayahill/performance'
import type { QuarantineManager } from '@papayahill/quarantine'
import type { PathEvidence, Reach } from '@papayahill/reach'
import type { ColdStartLimiter } from './ColdStartLimiter.js'
import type { ConnectionPool } from './ConnectionPool.js'
import type { Detour } from './Detour.js'
import type { EngineTracker } from './EngineTracker.js'
import type { CallQuarantine } from './CallQuarantine.js'
import type { RouteTimes } from './newRouteTimes.js'
import type { SharedRetryBudget } from './SharedRetryBudget.js'
import type { StopTime } from './StopTime.js'
import type { CallWire, ProfileLookup, RunObserver } from './types.js'
import type { UnsentRequests } from './UnsentRequests.js'
import type { VersionGate } from './VersionGate.js'

/** Dependencies shared by all requests of an instance. */
export interface ForwardContext {
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly wire: CallWire
  readonly directory: EndpointDirectory
  readonly connections: ConnectionPool
  readonly engines: EngineTracker
  readonly coldStarts: ColdStartLimiter
  readonly limits: SharedRateLimiter
  readonly quarantines: QuarantineManager
  readonly callQuarantine: CallQuarantine
  readonly unsent: UnsentRequests
  readonly retries: SharedRetryBudget
  /** Times from a call to the first event of its answer, and to its end. */
  readonly firstEvents: RouteTimes
  readonly answerTimes: RouteTimes
  /** How long work takes at each endpoint; used for services whose endpoints report their slowdown. */
  readonly performance: EndpointPerformance
  readonly stopTime: StopTime
  readonly stages: StageContext
  readonly versions: VersionGate
  readonly profileOf: ProfileLookup
  /** What this instance and its peers reach. */
  readonly reach: Reach
  /** Receives what calls show about the paths to endpoints. */
  readonly paths: PathEvidence
  /** Reads what callers sent or closed while the event loop was blocked. */
  readonly arrivals: Pick<ArrivalReader, 'catchUp' | 'isPrompt'>
  readonly detour: Detour
  /** Counts what requests use; absent where the deployment asks for no such counts. */
  readonly runs?: RunObserver | undefined
  /** Failure domain of this instance. */
  readonly domain: DomainId
}

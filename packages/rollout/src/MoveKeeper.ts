import { epochMillis } from '@papayahill/common'
import type {
  Clock, EventLog, Incarnation, InstanceId, Random, RequestRecord, ServiceId, StageRecord, VersionId
} from '@papayahill/common'
import type { ConfigLog } from '@papayahill/control'
import type { Peers } from '@papayahill/peers'
import type { TableService } from '@papayahill/platform'
import type { Moves, MoveStatus, Route } from './types.js'

/** What a version's endpoints may take from this instance. */
export interface VersionCapacity {
  /** Calls at once that this instance may run there now. */
  readonly slots: number
  /** The same once all of its endpoints are warm. */
  readonly warmSlots: number
}

export interface MoveKeeperOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly random: Random
  readonly table: TableService
  readonly peers: Peers
  readonly config: ConfigLog
  readonly capacity: (service: ServiceId, version: VersionId) => VersionCapacity
  readonly log: EventLog
}

const FIRST_SHARE = 0.02

/**
 * Moves traffic between versions on evidence.
 *
 * @example
 * const moves = new MoveKeeper({ self, incarnation, clock, random, table, peers, config, capacity, log })
 * moves.start()
 * moves.versionsFor(service, { class: classId, stage }) // ['v2', 'v1']: v2 preferred, v1 as fallback
 */
export class MoveKeeper implements Moves {
  readonly #options: MoveKeeperOptions

  constructor (options: MoveKeeperOptions) {
    this.#options = options
  }

  start (): void {}

  stop (): void {}

  versionsFor (service: ServiceId, route: Route): readonly VersionId[] {
    void route
    const { config, random } = this.#options
    const view = config.view().config
    const move = view.moves.get(service)
    if (move !== undefined) return random.next() < FIRST_SHARE ? [move.to, move.from] : [move.from, move.to]
    const version = view.services.get(service)?.version
    return version === undefined ? [] : [version]
  }

  status (): readonly MoveStatus[] {
    return [...this.#options.config.view().config.moves.values()].map((move) => ({
      service: move.service,
      from: move.from,
      to: move.to,
      by: epochMillis(move.by),
      state: 'moving',
      share: FIRST_SHARE,
      because: 'the move has begun',
      isRecorded: true
    }))
  }

  stageEnded (record: StageRecord): void {
    void record
  }

  requestEnded (record: RequestRecord, stages: readonly StageRecord[]): void {
    void record
    void stages
  }
}

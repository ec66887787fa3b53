import type {
  Clock, EventKind, EventLog, Incarnation, InstanceId, Random, RequestRecord, ServiceId, StageRecord, Timer, VersionId
} from '@papayahill/common'
import type { ConfigLog, ConfigView } from '@papayahill/control'
import type { Peers } from '@papayahill/peers'
import type { TableService } from '@papayahill/stores'
import type { MoveSettings } from '@papayahill/settings'
import { capacityShare } from './capacityShare.js'
import { EVALUATION_PERIOD } from './constants.js'
import { ROLLOUT_EVENTS } from './events.js'
import { EvidenceExchange } from './EvidenceExchange.js'
import type { MoveMessage } from './EvidenceExchange.js'
import { MoveEntry, UNCONFIRMED } from './MoveEntry.js'
import { MoveRecorder } from './MoveRecorder.js'
import { OpenMove } from './OpenMove.js'
import { planStep } from './planStep.js'
import type { StepDecision } from './planStep.js'
import type { MoveState, Moves, MoveStatus, Route } from './types.js'

/** Capacity of a version's endpoints for this instance. */
export interface VersionCapacity {
  /** Concurrent calls that this instance may run there now. */
  readonly slots: number
}

export interface MoveManagerOptions {
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

/** Events logged when a move enters a state. */
const EVENT_OF_STATE: Readonly<Partial<Record<MoveState, EventKind>>> = {
  'waiting-for-traffic': ROLLOUT_EVENTS.moveWaiting,
  'waiting-for-capacity': ROLLOUT_EVENTS.moveWaiting,
  late: ROLLOUT_EVENTS.moveLate
}

/**
 * Runs moves, the progressive rollouts of new versions: raises the new version's traffic share in recorded steps, rolls
 * it back immediately and permanently if it performs worse than the old one, and completes the move at the end.
 *
 * @example
 * const moves = new MoveManager({ self, incarnation, clock, random, table, peers, config, capacity, log })
 * moves.start()
 * moves.versionsFor(service, { class: classId, stage }) // ['v2', 'v1']: v2 preferred, v1 as fallback
 */
export class MoveManager implements Moves {
  readonly #options: MoveManagerOptions
  readonly #recorder: MoveRecorder
  readonly #exchange: EvidenceExchange
  readonly #entries = new Map<ServiceId, MoveEntry>()
  readonly #closed = new Map<ServiceId, MoveStatus>()
  #timer: Timer | undefined

  constructor (options: MoveManagerOptions) {
    this.#options = options
    this.#exchange = new EvidenceExchange(options)
    this.#recorder = new MoveRecorder({
      ...options, exchange: this.#exchange, rollBack: (entry, because) => this.#rollBack(entry, because)
    })
    this.#exchange.onMessage((message) => this.#receive(message, false))
    options.config.onChange((view) => this.#sync(view))
  }

  start (): void {
    this.#sync(this.#options.config.view())
    this.#timer ??= this.#options.clock.every(EVALUATION_PERIOD, () => this.#tick())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  versionsFor (service: ServiceId, route: Route): readonly VersionId[] {
    const open = this.#entries.get(service)?.open
    if (open === undefined) return this.#versionsWithoutMove(service)
    const { from, to } = open.move
    if (open.share === 0) return [from]
    if (open.isNewPreferred(route)) return [to, from]
    return open.isProven ? [from, to] : [from]
  }

  status (): readonly MoveStatus[] {
    const open = [...this.#entries.values()].map((entry) => entry.status(this.#options.clock.wall()))
    return [...open, ...this.#closed.values()]
  }

  stageEnded (record: StageRecord): void {
    const entry = this.#entries.get(record.service)
    if (entry === undefined) return
    entry.open.count(record)
    entry.concurrency.count(record.took)
  }

  requestEnded (record: RequestRecord, stages: readonly StageRecord[]): void {
    void record
    void stages
  }

  #versionsWithoutMove (service: ServiceId): readonly VersionId[] {
    const { config } = this.#options.config.view()
    const move = config.moves.get(service)
    const version = move?.from ?? config.services.get(service)?.version
    return version === undefined ? [] : [version]
  }

  /** Opens and closes moves according to the configuration in force. */
  #sync (view: ConfigView): void {
    for (const move of view.config.moves.values()) {
      const known = this.#entries.get(move.service)?.open.move
      if (known?.startedAt !== move.startedAt) this.#open(move)
    }
    for (const [service, entry] of this.#entries) {
      if (!view.config.moves.has(service)) this.#close(service, entry, view)
    }
  }

  #open (move: MoveSettings): void {
    const { random, clock, log } = this.#options
    this.#entries.set(move.service, new MoveEntry(new OpenMove(move, random.fork()), clock))
    this.#closed.delete(move.service)
    this.#exchange.forget(move.service)
    for (const message of this.#exchange.receivedMessages()) this.#receive(message, true)
    log.emit(ROLLOUT_EVENTS.moveStarted, { service: move.service, from: move.from, to: move.to, by: move.by })
  }

  #close (service: ServiceId, entry: MoveEntry, view: ConfigView): void {
    const { move, rollback } = entry.open
    this.#entries.delete(service)
    const isDone = view.config.services.get(service)?.version === move.to
    const state = isDone ? 'done' : rollback === undefined ? 'stopped' : 'taken-back'
    const because = isDone ? entry.decision.because : rollback?.because ?? 'an operator stopped the move'
    this.#closed.set(service, { ...entry.status(this.#options.clock.wall()), state, share: isDone ? 1 : 0, because, isRecorded: true })
    const kind = isDone ? ROLLOUT_EVENTS.moveDone : ROLLOUT_EVENTS.moveStopped
    this.#options.log.emit(kind, { service, version: move.to, because })
  }

  /** `isEvaluated`: other instances evaluated the counts before this one opened the move. */
  #receive (message: MoveMessage, isEvaluated: boolean): void {
    const entry = this.#entries.get(message.service)
    if (entry === undefined) return
    if (message.kind === 'step') return this.#recorder.adopt(entry, message.row)
    if (message.startedAt !== entry.open.move.startedAt) return
    if (message.kind === 'taken-back') return this.#rollBack(entry, message.because)
    if (isEvaluated) entry.open.merged.mergeEvaluated(message.source, message.counts)
    else entry.open.merged.merge(message.source, message.counts)
  }

  #tick (): void {
    for (const entry of this.#entries.values()) {
      this.#evaluate(entry)
      this.#exchange.publishCounts(entry.open)
      void this.#recorder.advance(entry)
    }
  }

  #evaluate (entry: MoveEntry): void {
    const { open } = entry
    const verdict = open.evaluate(this.#options.clock.now())
    if (verdict !== undefined) this.#rollBack(entry, verdict)
    entry.decision = this.#decide(entry)
    this.#report(entry)
  }

  #rollBack (entry: MoveEntry, because: string): void {
    const { open } = entry
    if (!open.rollBack(because)) return
    const { service, to } = open.move
    this.#exchange.publishRollback(open.move, because)
    this.#options.log.emit(ROLLOUT_EVENTS.moveTakenBack, { service, version: to, because })
  }

  #decide ({ open, concurrency }: MoveEntry): StepDecision {
    const { record, move } = open
    if (record === undefined && open.rowVersion === 0 && !this.#hasPolled(move.service)) return UNCONFIRMED
    if (record?.state === 'done') return { kind: 'done', because: record.because }
    const now = this.#options.clock.wall()
    const begunAt = record?.begunAt ?? now
    const capacity = this.#options.capacity(move.service, move.to)
    return planStep({
      now,
      begunAt,
      by: move.by,
      steppedAt: record?.steppedAt ?? now,
      share: open.share,
      routes: open.progress(now - begunAt),
      holdReason: open.holdReason(),
      capacityShare: capacityShare(capacity, concurrency.estimate())
    })
  }

  #hasPolled (service: ServiceId): boolean {
    return this.#entries.get(service)?.polledAt !== undefined
  }

  /** Logs once when a move starts to wait or becomes late. */
  #report (entry: MoveEntry): void {
    const { state, because, service } = entry.status(this.#options.clock.wall())
    const kind = entry.enterState(state) ? EVENT_OF_STATE[state] : undefined
    if (kind !== undefined) this.#options.log.emit(kind, { service, state, because })
  }
}

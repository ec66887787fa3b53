import { isJsonObject } from '@papayahill/common'
import type { Clock, EventLog, Json, Millis, Random, ServiceId } from '@papayahill/common'
import type { Endpoint, ServingRoute, VersionOrder } from '@papayahill/directory'
import type { LossJudge } from '@papayahill/reach'
import {
  MOVE_DONE_MARGIN, MOVE_FULL_TRAFFIC_SPAN, MOVE_PROBE_SHARE, MOVE_TRIED_CALLS, MOVE_TRIED_SHARE, MOVE_UNTRIED_FACTOR
} from './constants.js'
import { FORWARDING_EVENTS } from './events.js'
import { CallMonitor } from './CallMonitor.js'
import type { CallVerdict } from './CallMonitor.js'
import { newVersionCalls, isRouteTried, judgeMove, sumEvidence } from './MoveEvidence.js'
import type { MoveVerdict, RouteCounts, VersionCounts } from './MoveEvidence.js'
import type { VersionCall, VersionGate } from './VersionGate.js'

/** State of a move; `done` and `taken-back` (rolled back) are final. */
export type MoveState = 'moving' | 'done' | 'taken-back'

/** A move as recorded in the platform's store. */
export interface MoveRecord {
  readonly to: string
  readonly state: MoveState
}

/** Stores the state of moves for all instances and operators. */
export interface MoveRecords {
  read (service: ServiceId): Promise<MoveRecord | undefined>
  /** Writes unless another write has happened since the last read; false if one has or the store did not answer. */
  write (service: ServiceId, record: MoveRecord): Promise<boolean>
}

/** Exchanges the counts and states of moves with the other instances. */
export interface MoveReports {
  publish (service: ServiceId, report: Json): void
  received (service: ServiceId): readonly Json[]
}

export interface MoveGateOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly records: MoveRecords
  readonly reports: MoveReports
  /** Share of a service's requests that a bad version may get. */
  readonly exposureShare: () => number
  /** Whether this instance records the move of a service; one instance does at a time. */
  readonly isRecorder: (service: ServiceId) => boolean
  /** Tells lost and late calls of an endpoint from those of an instance that is cut off from all of them. */
  readonly losses: LossJudge
}

interface OpenMove {
  readonly order: VersionOrder
  readonly seenAt: Millis
  /** Time for which the move had been running when this instance first saw it, as reported by other instances. */
  elapsedBefore: number
  state: MoveState
  /** State and recorded end as last published. */
  published: string | undefined
  recorded: MoveRecord | undefined
  /** Whether the store had the record when this instance last read or wrote it, and has not been restored from an older copy since. */
  isStored: boolean
  isRecording: boolean
  /** Answers of all instances as of the last check, and their verdict. */
  evidence: RouteCounts
  verdict: MoveVerdict
  readonly routes: Record<string, { fresh: VersionCounts, old: VersionCounts }>
}

const FINAL: ReadonlySet<MoveState> = new Set(['done', 'taken-back'])

const isFinalState = (state: Json | undefined): state is MoveState => FINAL.has(state as MoveState)

/**
 * Moves services to new versions. A move is a progressive rollout: the new version gets a small share of requests at
 * first, and all of them shortly before the time set if the answers of all instances are good. The service is rolled back to
 * the old version as soon as they are bad.
 *
 * @example
 * gate.applyOrder({ service, to: 'v2', within }, service)
 * gate.selectCandidates(service, route, endpoints)
 */
export class MoveGate implements VersionGate {
  readonly #options: MoveGateOptions
  readonly #moves = new Map<ServiceId, OpenMove>()
  readonly #calls: CallMonitor

  constructor (options: MoveGateOptions) {
    this.#options = options
    this.#calls = new CallMonitor({
      clock: options.clock,
      isOnTrial: (endpoint) => this.#moves.get(endpoint.service)?.order.to === endpoint.record.version,
      losses: {
        judgeLoss: (endpoint, tell) => this.#moves.has(endpoint.service) ? options.losses.judgeLoss(endpoint, tell) : tell(),
        judgeWait: (endpoint, tell) => this.#moves.has(endpoint.service) ? options.losses.judgeWait(endpoint, tell) : tell()
      },
      onVerdict: (endpoint, route, verdict) => this.#count(endpoint, route, verdict)
    })
  }

  /** Starts the ordered move, or drops the service's move if the order was withdrawn. */
  applyOrder (order: VersionOrder | undefined, service: ServiceId): void {
    const known = this.#moves.get(service)
    if (order === undefined) {
      this.#moves.delete(service)
      return
    }
    if (known?.order.to === order.to && known.order.within === order.within) return
    const seenAt = this.#options.clock.now()
    this.#moves.set(service, {
      order,
      seenAt,
      elapsedBefore: 0,
      state: 'moving',
      published: undefined,
      recorded: undefined,
      isStored: false,
      isRecording: false,
      evidence: {},
      verdict: 'open',
      routes: {}
    })
    this.#options.log.emit(FORWARDING_EVENTS.moveBegan, { service, to: order.to, withinMs: order.within })
  }

  /** Whether a move of the service is under way. */
  isMoving (service: ServiceId): boolean {
    return this.#moves.get(service)?.state === 'moving'
  }

  selectCandidates (service: ServiceId, route: ServingRoute, endpoints: readonly Endpoint[]): readonly Endpoint[] {
    const move = this.#moves.get(service)
    if (move === undefined) return endpoints
    const { to } = move.order
    const newEndpoints = endpoints.filter((endpoint) => endpoint.record.version === to)
    const oldEndpoints = endpoints.filter((endpoint) => endpoint.record.version !== to)
    const candidates = this.#options.random.next() < this.#newVersionShare(move, route) ? newEndpoints : oldEndpoints
    if (candidates.length > 0) return candidates
    // A version that was rolled back gets no requests, even if no other endpoint is left.
    return move.state === 'taken-back' ? oldEndpoints : endpoints
  }

  recordCall (endpoint: Endpoint, route: ServingRoute): VersionCall {
    return this.#calls.track(endpoint, route)
  }

  /** Updates, publishes and records all moves; call it periodically. */
  tick (): void {
    this.#calls.tick()
    for (const [service, move] of this.#moves) {
      this.#update(service, move)
      this.#publish(service, move)
      if (this.#options.isRecorder(service)) void this.#record(service, move)
    }
  }

  /** Records the states of all moves again; call it when the store may have lost them. */
  recordAgain (): void {
    for (const move of this.#moves.values()) move.isStored = false
  }

  /** Publishes the counts while the move is open, and its final state once. */
  #publish (service: ServiceId, move: OpenMove): void {
    const recorded = this.#recordedEnd(move) ?? null
    const end = `${move.state} ${recorded}`
    if (FINAL.has(move.state) && move.published === end) return
    move.published = end
    this.#options.reports.publish(service, {
      to: move.order.to, passed: this.#elapsed(move), state: move.state, recorded, routes: move.routes as unknown as Json
    })
  }

  #count (endpoint: Endpoint, route: ServingRoute, verdict: CallVerdict): void {
    const move = this.#moves.get(endpoint.service)
    if (move === undefined) return
    const isNewVersion = endpoint.record.version === move.order.to
    const counts = move.routes[route.name] ?? { fresh: { calls: 0, bad: 0 }, old: { calls: 0, bad: 0 } }
    const side = isNewVersion ? 'fresh' : 'old'
    const { calls, bad } = counts[side]
    move.routes[route.name] = { ...counts, [side]: { calls: calls + 1, bad: bad + (verdict === 'bad' ? 1 : 0) } }
    if (isNewVersion && verdict === 'bad') this.#update(endpoint.service, move)
  }

  #elapsed (move: OpenMove): number {
    return move.elapsedBefore + this.#options.clock.now() - move.seenAt
  }

  /** Share of a route's requests that the new version gets now. */
  #newVersionShare (move: OpenMove, route: ServingRoute): number {
    if (move.state === 'taken-back') return 0
    if (move.state === 'done') return 1
    const { evidence, verdict, order } = move
    const timeLeft = order.within - this.#elapsed(move)
    if (verdict === 'good' && timeLeft <= MOVE_FULL_TRAFFIC_SPAN && timeLeft > 0) return 1
    const isTriedWell = verdict === 'good' && newVersionCalls(evidence) >= MOVE_TRIED_CALLS
    const share = this.#options.exposureShare() * (isTriedWell ? MOVE_TRIED_SHARE : MOVE_PROBE_SHARE)
    return isRouteTried(evidence, route.name) ? share : share * MOVE_UNTRIED_FACTOR
  }

  #evaluate (move: OpenMove): void {
    const received = this.#options.reports.received(move.order.service).filter(isJsonObject).filter((report) => report.to === move.order.to)
    move.evidence = sumEvidence([move.routes, ...received.map((report) => report.routes as unknown as RouteCounts)])
    move.verdict = judgeMove(move.evidence)
  }

  #update (service: ServiceId, move: OpenMove): void {
    this.#applyReports(service, move)
    if (FINAL.has(move.state)) return
    this.#evaluate(move)
    const { verdict, order } = move
    if (verdict === 'bad') return this.#close(service, move, 'taken-back', 'its answers are worse than those of the old version')
    const timeLeft = order.within - this.#elapsed(move)
    if (verdict === 'good' && timeLeft <= MOVE_DONE_MARGIN && timeLeft > 0) this.#close(service, move, 'done', 'its answers are good')
  }

  /** The recorded final state, which is binding for all instances whatever their own verdict. */
  #recordedEnd ({ recorded, order }: OpenMove): MoveState | undefined {
    return recorded !== undefined && recorded.to === order.to && FINAL.has(recorded.state) ? recorded.state : undefined
  }

  /** Rolls back if any instance did, and adopts a final state that is recorded. */
  #applyReports (service: ServiceId, move: OpenMove): void {
    for (const report of this.#options.reports.received(service).filter(isJsonObject)) {
      if (report.to !== move.order.to) continue
      const aheadBy = Number(report.passed) - this.#elapsed(move)
      if (aheadBy > 0) move.elapsedBefore += aheadBy
      if (isFinalState(report.recorded)) move.recorded = { to: move.order.to, state: report.recorded }
      if (report.state === 'taken-back' && move.state === 'moving') this.#close(service, move, 'taken-back', 'another instance rolled it back')
    }
    const recordedEnd = this.#recordedEnd(move)
    if (recordedEnd !== undefined && recordedEnd !== move.state) this.#close(service, move, recordedEnd, 'its end is recorded in the store')
  }

  #close (service: ServiceId, move: OpenMove, state: MoveState, because: string): void {
    move.state = state
    const evidence = JSON.stringify(move.evidence)
    this.#options.log.emit(FORWARDING_EVENTS.moveClosed, { service, to: move.order.to, state, because, evidence })
  }

  async #record (service: ServiceId, move: OpenMove): Promise<void> {
    const { records } = this.#options
    const isRecorded = move.recorded?.to === move.order.to && move.recorded.state === move.state
    if (move.isRecording || (isRecorded && move.isStored)) return
    move.isRecording = true
    const stored = await records.read(service)
    const isDecided = stored?.to === move.order.to && FINAL.has(stored.state)
    const record: MoveRecord = { to: move.order.to, state: move.state }
    move.isStored = isDecided || await records.write(service, record)
    if (move.isStored) move.recorded = isDecided ? stored : record
    move.isRecording = false
  }
}

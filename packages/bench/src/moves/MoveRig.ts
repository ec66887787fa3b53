import { brand, EventRecorder, exponential, millis, seconds, SeededRandom, tokens, VirtualClock } from '@papayahill/common'
import type {
  CallOutcome, DomainId, EndpointId, EpochMillis, EventRecord, InstanceId, Millis, Random, RequestId, ServiceId, StageRecord,
  VersionId, WorkspaceId
} from '@papayahill/common'
import { MoveManager } from '@papayahill/rollout'
import type { Moves, VersionCapacity } from '@papayahill/rollout'
import { FakePeerNetwork, FakeTable } from '@papayahill/standins'
import type { MoveScenario, RouteTraffic } from './scenario.js'
import { SharedConfig } from './SharedConfig.js'
import { VersionModel } from './VersionModel.js'
import type { CallEnd } from './VersionModel.js'

export const SERVICE = brand<ServiceId>('assistant')
export const OLD = brand<VersionId>('v1')
export const NEW = brand<VersionId>('v2')

const INSTANCE_COUNT = 3
const BURST_FACTOR = 3
const MILLIS_PER_SECOND = 1000
const WARM_UP = seconds(3)
/** How long a run continues after the move's due time. */
const OVERRUN_SECONDS = 5
/** How long a run continues after every instance has rolled the version back. */
const AFTER_ROLLBACK = seconds(15)

/** One call as observed by the fakes; times are in milliseconds since the start of the move. */
export interface ObservedCall {
  readonly instance: InstanceId
  readonly route: number
  readonly isNew: boolean
  readonly startedAt: number
  endedAt: number
  outcome: CallOutcome | undefined
  took: number
  isFaulty: boolean
}

/** All that the fakes observed of one move. */
export interface MoveTrace {
  readonly scenario: MoveScenario
  readonly calls: readonly ObservedCall[]
  /** When the configuration recorded the move as done, in milliseconds since its start. */
  readonly doneAt: number | undefined
  readonly events: readonly EventRecord[]
  readonly begunAt: EpochMillis
  /** The instance whose links to all others are cut, if any. */
  readonly isolatedInstance: InstanceId | undefined
}

/** Dependencies of a policy under test. */
export interface PolicyOptions {
  readonly self: InstanceId
  readonly index: number
  readonly clock: VirtualClock
  readonly random: Random
  readonly table: FakeTable
  readonly network: FakePeerNetwork
  readonly config: SharedConfig
  readonly capacity: (service: ServiceId, version: VersionId) => VersionCapacity
  readonly events: EventRecorder
  readonly scenario: MoveScenario
}

export interface Policy extends Moves {
  start (): void
  stop (): void
}

export type PolicyMaker = (options: PolicyOptions) => Policy

export const makeMoveManager: PolicyMaker = ({ self, clock, random, table, network, config, capacity, events }) => {
  const peers = network.join(self, brand<DomainId>('d1'))
  return new MoveManager({ self, incarnation: peers.incarnation, clock, random, table, peers, config, capacity, log: events })
}

interface Member {
  readonly id: InstanceId
  readonly policy: Policy
  newRunning: number
  isAlive: boolean
}

/** Runs three instances that move the traffic of one service to a new version, in virtual time. */
export class MoveRig {
  readonly #scenario: MoveScenario
  readonly #clock = new VirtualClock()
  readonly #random: Random
  readonly #table: FakeTable
  readonly #network = new FakePeerNetwork(this.#clock)
  readonly #config = new SharedConfig(this.#clock, SERVICE, OLD)
  readonly #events = new EventRecorder(this.#clock)
  readonly #members: Member[] = []
  readonly #calls: ObservedCall[] = []
  readonly #models: Readonly<Record<'old' | 'new', VersionModel>>
  #begunAt = millis(0)
  #requests = 0

  constructor (scenario: MoveScenario, makePolicy: PolicyMaker) {
    this.#scenario = scenario
    this.#random = new SeededRandom(scenario.seed)
    this.#table = new FakeTable(this.#clock, this.#random.fork())
    this.#table.faults.lostAnswerShare = 0.05
    const model = (isNew: boolean): VersionModel =>
      new VersionModel({ clock: this.#clock, random: this.#random.fork(), scenario, isNew })
    this.#models = { old: model(false), new: model(true) }
    for (let index = 0; index < INSTANCE_COUNT; index++) this.#join(index, makePolicy)
  }

  async run (): Promise<MoveTrace> {
    const { duration } = this.#scenario
    for (const { policy } of this.#members) policy.start()
    this.#scenario.routes.forEach((traffic, route) => this.#scheduleCalls(traffic, route))
    await this.#clock.advance(WARM_UP)
    this.#calls.length = 0
    this.#begunAt = this.#clock.now()
    const begunAt = this.#clock.wall()
    this.#config.startMove(SERVICE, NEW, begunAt + duration * MILLIS_PER_SECOND)
    this.#scriptFaults()
    const end = this.#clock.now() + seconds(duration + OVERRUN_SECONDS)
    while (this.#clock.now() < end && !this.#isRolledBack()) await this.#clock.advance(seconds(1))
    if (this.#isRolledBack()) await this.#clock.advance(AFTER_ROLLBACK)
    for (const { policy } of this.#members) policy.stop()
    const { doneAt } = this.#config
    return {
      scenario: this.#scenario,
      calls: this.#calls,
      doneAt: doneAt === undefined ? undefined : doneAt - this.#begunAt,
      events: this.#events.records,
      begunAt,
      isolatedInstance: this.#scenario.isolatedAt === undefined ? undefined : this.#members[INSTANCE_COUNT - 1]!.id
    }
  }

  #join (index: number, makePolicy: PolicyMaker): void {
    const id = brand<InstanceId>(`i${index}`)
    const policy = makePolicy({
      self: id,
      index,
      clock: this.#clock,
      random: this.#random.fork(),
      table: this.#table,
      network: this.#network,
      config: this.#config,
      capacity: (service, version) => this.#capacity(version),
      events: this.#events,
      scenario: this.#scenario
    })
    this.#members.push({ id, policy, newRunning: 0, isAlive: true })
  }

  #capacity (version: VersionId): VersionCapacity {
    const { maxConcurrency } = version === NEW ? this.#models.new : this.#models.old
    const alive = this.#members.filter(({ isAlive }) => isAlive).length
    return { slots: Math.floor(maxConcurrency / alive) }
  }

  /** Ends a run early; the figures are computed from the observed calls alone. */
  #isRolledBack (): boolean {
    return this.#members.every(({ isAlive, policy }) => !isAlive || policy.status().some(({ state }) => state === 'taken-back'))
  }

  #scriptFaults (): void {
    const { storeDown, restartAt, deathAt, isolatedAt } = this.#scenario
    const at = (second: number | undefined, act: () => void): void => {
      if (second !== undefined && Number.isFinite(second)) this.#clock.after(seconds(second), act)
    }
    at(storeDown?.from, () => { this.#table.faults.isDown = true })
    at(storeDown?.to, () => { this.#table.faults.isDown = false })
    at(restartAt, () => this.#models.new.restart())
    at(deathAt, () => this.#killFirst())
    at(isolatedAt, () => this.#isolateLast())
  }

  #killFirst (): void {
    const member = this.#members[0]!
    member.isAlive = false
    member.policy.stop()
    this.#network.kill(member.id)
  }

  #isolateLast (): void {
    const last = this.#members[INSTANCE_COUNT - 1]!
    for (const { id } of this.#members) if (id !== last.id) this.#network.partition(id, last.id)
  }

  #scheduleCalls (traffic: RouteTraffic, route: number): void {
    const factor = this.#isBurst() ? BURST_FACTOR : 1
    const wait = exponential(this.#random, MILLIS_PER_SECOND / (traffic.rate * factor))
    this.#clock.after(millis(wait), () => {
      this.#startCall(traffic, route)
      this.#scheduleCalls(traffic, route)
    })
  }

  #isBurst (): boolean {
    const at = (this.#clock.now() - this.#begunAt) / MILLIS_PER_SECOND
    return this.#begunAt > 0 && this.#scenario.bursts.some(({ from, to }) => at >= from && at < to)
  }

  #startCall (traffic: RouteTraffic, route: number): void {
    const alive = this.#members.filter(({ isAlive }) => isAlive)
    const member = alive[this.#random.below(alive.length)]!
    const versions = member.policy.versionsFor(SERVICE, traffic.route)
    const hasSlot = (version: VersionId): boolean => version === OLD || member.newRunning < this.#capacity(NEW).slots
    const version = versions.find(hasSlot)
    if (version === undefined) return
    const isNew = version === NEW
    const startedAt = this.#clock.now()
    const sinceBegin = startedAt - this.#begunAt
    const observed: ObservedCall = {
      instance: member.id, route, isNew, startedAt: sinceBegin, endedAt: Infinity, outcome: undefined, took: 0, isFaulty: false
    }
    this.#calls.push(observed)
    if (isNew) member.newRunning++
    this.#models[isNew ? 'new' : 'old'].run(traffic, route, (end) => {
      if (isNew) member.newRunning--
      this.#recordEnd(member, observed, startedAt, traffic, version, end)
    })
  }

  #recordEnd (member: Member, observed: ObservedCall, startedAt: Millis, traffic: RouteTraffic, version: VersionId, end: CallEnd): void {
    observed.endedAt = this.#clock.now() - this.#begunAt
    observed.outcome = end.outcome
    observed.took = end.took
    observed.isFaulty = end.isFaulty
    if (!member.isAlive) return
    const record: StageRecord = {
      call: { request: brand<RequestId>(`r${this.#requests++}`), stage: traffic.route.stage, attempt: 1 },
      service: SERVICE,
      version,
      endpoint: brand<EndpointId>(`${version}-e`),
      domain: brand<DomainId>('d1'),
      class: traffic.route.class,
      workspace: brand<WorkspaceId>('w1'),
      outcome: end.outcome,
      startedAt,
      queued: millis(0),
      took: millis(end.took),
      usage: { tokensIn: tokens(0), tokensCached: tokens(0), tokensOut: tokens(0), busy: millis(end.took) }
    }
    member.policy.stageEnded(record)
  }
}

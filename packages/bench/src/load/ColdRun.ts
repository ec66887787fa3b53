import { brand, millis, SeededRandom, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type {
  ClassId, DomainId, EndpointId, InstanceId, Millis, Random, RegionId, RequestId, ServiceId, StageId, VersionId,
  WorkspaceId
} from '@papayahill/common'
import { EndpointTable } from '@papayahill/endpoints'
import type { DepartedLife, EndpointAccess, EndpointLease, LeaseWant, RosterLife, RosterRecord, StageCall } from '@papayahill/endpoints'
import { shareChannel } from '@papayahill/instance'
import { Trace } from '@papayahill/invariants'
import type { InstanceList, ListedEndpoint } from '@papayahill/platform'
import {
  FakeEndpoint, FakeEndpointAccess, FakeFleet, FakeInstanceList, FakePeerNetwork, FakeTable, GatedClock, GatedEndpointAccess,
  GatedInstanceList, GatedTable, LifeGate, WORK_MODELS
} from '@papayahill/standins'
import type { WorkModel } from '@papayahill/standins'
import type { ColdFault, ColdScenario } from './coldScenario.js'
import { CuttableTable } from './CuttableTable.js'
import { ROSTER_ROW, RosterReader } from './RosterReader.js'
import { SIMPLE_POLICIES, SimplePool } from './SimplePool.js'
import type { Leases } from './SimplePool.js'

export type ColdPolicy = 'papayahill' | 'staleRoster' | 'roundRobin' | 'leastInFlight' | 'ideal'

const SERVICE = brand<ServiceId>('lookup')
const VERSION = brand<VersionId>('v1')
const DOMAIN = brand<DomainId>('d1')
const REGION = brand<RegionId>('r1')
const CALLS_AT_ONCE = 12
/** Mean time for which callers come, or stay away, where they are intermittent. */
const ASKED_SPAN = 600
const RETRY = millis(20)
const WATCH_PERIOD = millis(20)
const REMOVAL_DELAY = millis(1000)
const LEAVE_DELAY = millis(500)
const LEAVING_SPAN = millis(2000)
const CALL_TIMEOUT = millis(5000)
/** How long the roster record keeps those that left. */
const DEPARTED_KEPT = 32

const MODEL: WorkModel = { ...WORK_MODELS.plain, callTime: millis(120), bearsCold: 2, bearsWarm: 8, completedPerStep: 10 }

const WANT: LeaseWant = {
  service: SERVICE,
  versions: [VERSION],
  class: brand<ClassId>('stock'),
  workspace: brand<WorkspaceId>('norte'),
  exclude: new Set()
}

export interface ColdFigures {
  readonly overBorne: number
  readonly overBorneSilent: number
  /** Times from each restart that broke connections until the endpoint bore its full load. */
  readonly warmTimes: readonly number[]
  readonly calls: number
}

interface Member {
  readonly life: RosterLife
  readonly gate: LifeGate
  readonly table: CuttableTable
  readonly leases: Leases
  readonly stop: () => void
  /** Most calls of its callers at once. */
  readonly atOnce: number
  isServing: boolean
  /** Whether callers come now. */
  isAsked: boolean
  running: number
}

/** One scenario under one policy: a closed loop of calls on top of it, figures counted at the endpoints. */
export class ColdRun {
  readonly #scenario: ColdScenario
  readonly #policy: ColdPolicy
  readonly #clock = new VirtualClock()
  readonly #random: Random
  readonly #trace = new Trace()
  readonly #table: FakeTable
  readonly #list: FakeInstanceList
  readonly #network: FakePeerNetwork
  readonly #fleet = new FakeFleet()
  readonly #members: Member[] = []
  readonly #warming = new Map<FakeEndpoint, Millis>()
  readonly #warmTimes: number[] = []
  #record: RosterRecord = { version: 0, members: [], departed: [] }
  #calls = 0

  constructor (scenario: ColdScenario, policy: ColdPolicy) {
    this.#scenario = scenario
    this.#policy = policy
    this.#random = new SeededRandom(scenario.seed)
    this.#table = new FakeTable(this.#clock, this.#random.fork())
    this.#list = new FakeInstanceList(this.#clock)
    this.#list.lag = scenario.listLag
    this.#network = new FakePeerNetwork(this.#clock)
  }

  async run (): Promise<ColdFigures> {
    for (let index = 0; index < this.#scenario.endpoints; index++) this.#addEndpoint(index)
    const count = this.#policy === 'ideal' ? 1 : this.#scenario.instances
    for (let index = 0; index < count; index++) this.#addMember()
    this.#clock.every(WATCH_PERIOD, () => this.#watchWarming())
    for (const { at, fault } of this.#scenario.faults) this.#clock.after(at, () => this.#strike(fault))
    await this.#clock.advance(this.#scenario.span)
    for (const member of this.#members) member.stop()
    for (const since of this.#warming.values()) this.#warmTimes.push(this.#clock.now() - since)
    return this.#figures()
  }

  #figures (): ColdFigures {
    const over = this.#trace.ofType('work-started').filter((event) => event.running > event.bears && !event.isWarm)
    return {
      overBorne: over.filter((event) => !event.isSilentRestart).length,
      overBorneSilent: over.filter((event) => event.isSilentRestart).length,
      warmTimes: this.#warmTimes,
      calls: this.#calls
    }
  }

  #addEndpoint (index: number): void {
    const listed: ListedEndpoint = {
      id: brand<EndpointId>(`e${index}`),
      service: SERVICE,
      version: VERSION,
      domain: DOMAIN,
      address: { ip: '127.0.0.1', port: 7000 + index },
      state: 'live'
    }
    const endpoint = new FakeEndpoint({
      clock: this.#clock, random: this.#random.fork(), trace: this.#trace, listed, kind: 'plain', model: MODEL
    })
    endpoint.warmUp()
    this.#fleet.add(endpoint)
    this.#list.setEndpoint(listed)
  }

  #addMember (): void {
    const id = brand<InstanceId>(`i${this.#members.length}`)
    const gate = new LifeGate()
    const clock = new GatedClock(this.#clock, gate)
    const peers = this.#network.join(id, DOMAIN)
    const life: RosterLife = { id, incarnation: peers.incarnation, joinedAt: this.#record.version + 1 }
    const access = new GatedEndpointAccess(new FakeEndpointAccess({
      clock: this.#clock, random: this.#random.fork(), fleet: this.#fleet, instance: id, lag: this.#scenario.reportLag
    }), gate)
    const list = new GatedInstanceList(this.#list, gate)
    const table = new CuttableTable(new GatedTable(this.#table, gate))
    const roster = new RosterReader({ self: peers.incarnation, clock, table })
    const leases = this.#policy === 'papayahill' || this.#policy === 'staleRoster'
      ? this.#realTable(life, clock, access, list, roster, shareChannel(peers))
      : new SimplePool({ clock, access, list, policy: SIMPLE_POLICIES[this.#policy] })
    const atOnce = this.#policy === 'ideal' ? CALLS_AT_ONCE * this.#scenario.instances : CALLS_AT_ONCE
    const stop = (): void => {
      leases.stop()
      roster.stop()
    }
    const member: Member = { life, gate, table, leases, stop, atOnce, isServing: true, isAsked: true, running: 0 }
    this.#members.push(member)
    this.#write([...this.#record.members, life], this.#record.departed)
    roster.start()
    leases.start()
    clock.every(RETRY, () => this.#serve(member))
    if (this.#scenario.isIntermittent && this.#policy !== 'ideal') this.#comeAndGo(member)
  }

  #comeAndGo (member: Member): void {
    this.#clock.after(millis(this.#random.below(2 * ASKED_SPAN)), () => {
      member.isAsked = !member.isAsked
      this.#comeAndGo(member)
    })
  }

  #realTable (
    self: RosterLife, clock: GatedClock, access: EndpointAccess, list: InstanceList, roster: RosterReader,
    shares: ReturnType<typeof shareChannel>
  ): EndpointTable {
    return new EndpointTable({
      self,
      domain: DOMAIN,
      regionOf: () => REGION,
      clock,
      random: this.#random.fork(),
      access,
      list,
      roster,
      shares,
      domainsOut: () => new Set(),
      serviceKind: () => 'plain',
      log: SILENT_LOG,
      ...(this.#policy === 'staleRoster' ? { rosterMaxAge: millis(Infinity) } : {})
    })
  }

  /** A closed loop: as many calls at once as the instance's callers and the endpoints allow. */
  #serve (member: Member): void {
    while (member.isServing && member.isAsked && member.running < member.atOnce) {
      const lease = member.leases.tryLease(WANT)
      if (lease === undefined) return
      void this.#call(member, lease)
    }
  }

  async #call (member: Member, lease: EndpointLease): Promise<void> {
    this.#calls++
    member.running++
    const started = this.#clock.now()
    const answer = await lease.connection.call(this.#stageCall(), () => {}, new AbortController().signal)
    member.running--
    lease.release(answer.isOk ? 'done' : answer.error.outcome, millis(this.#clock.now() - started))
    this.#serve(member)
  }

  #stageCall (): StageCall {
    return {
      id: { request: brand<RequestId>(`r${this.#calls}`), stage: brand<StageId>('lookup'), attempt: 1 },
      service: SERVICE,
      kind: 'plain',
      class: WANT.class,
      workspace: WANT.workspace,
      body: null,
      priority: 0,
      timeout: CALL_TIMEOUT,
      isStreamed: false
    }
  }

  #watchWarming (): void {
    for (const [endpoint, since] of this.#warming) {
      if (!endpoint.isWarm) continue
      this.#warmTimes.push(this.#clock.now() - since)
      this.#warming.delete(endpoint)
    }
  }

  #strike (fault: ColdFault): void {
    if (fault.kind === 'restart') return this.#restart(this.#endpoint(fault.endpoint), fault.isSilent)
    if (fault.kind === 'slow') return this.#slow(this.#endpoint(fault.endpoint), fault.span)
    if (fault.kind === 'store-outage') return this.#outage(fault.span)
    if (this.#policy === 'ideal') return
    if (fault.kind === 'join') return this.#whenStoreUp(() => this.#addMember())
    const member = this.#members[fault.instance]
    const isLastServing = this.#members.filter((other) => other.isServing).length <= 1
    if (member === undefined || !member.isServing || isLastServing) return
    if (fault.kind === 'pause') return this.#pause(member, fault.span)
    if (fault.kind === 'crash') return this.#crash(member)
    if (fault.kind === 'leave') return this.#leave(member)
    if (fault.kind === 'cut-off') this.#cutOff(member, fault.span)
    else this.#pause(member, fault.span)
    this.#clock.after(REMOVAL_DELAY, () => this.#remove(member))
  }

  #restart (endpoint: FakeEndpoint, isSilent: boolean): void {
    endpoint.restart({ isSilent })
    if (!isSilent) this.#warming.set(endpoint, this.#clock.now())
    else this.#warming.delete(endpoint)
  }

  #slow (endpoint: FakeEndpoint, span: Millis): void {
    endpoint.faults.slowFactor = 10
    this.#clock.after(span, () => { endpoint.faults.slowFactor = 1 })
  }

  #outage (span: Millis): void {
    this.#table.faults.isDown = true
    this.#clock.after(span, () => { this.#table.faults.isDown = false })
  }

  #pause (member: Member, span: Millis): void {
    member.gate.pause()
    this.#network.pause(member.life.id)
    this.#clock.after(span, () => {
      if (member.gate.isDead) return
      this.#network.resume(member.life.id)
      member.gate.resume()
    })
  }

  #cutOff (member: Member, span: Millis): void {
    const others = this.#members.filter((other) => other !== member).map((other) => other.life.id)
    member.table.isCut = true
    for (const other of others) this.#network.cut(member.life.id, other)
    this.#clock.after(span, () => {
      member.table.isCut = false
      for (const other of others) this.#network.heal(member.life.id, other)
    })
  }

  #crash (member: Member): void {
    this.#kill(member)
    this.#clock.after(REMOVAL_DELAY, () => this.#remove(member))
  }

  #leave (member: Member): void {
    member.isServing = false
    this.#clock.after(LEAVE_DELAY, () => this.#remove(member))
    this.#clock.after(LEAVING_SPAN, () => this.#kill(member))
  }

  #kill (member: Member): void {
    member.isServing = false
    member.gate.kill()
    this.#network.kill(member.life.id)
  }

  #remove (member: Member): void {
    this.#whenStoreUp(() => {
      const departed: DepartedLife = { ...member.life, departedAt: this.#record.version + 1 }
      const members = this.#record.members.filter((life) => life.incarnation !== member.life.incarnation)
      this.#write(members, [...this.#record.departed, departed].slice(-DEPARTED_KEPT))
    })
  }

  #whenStoreUp (change: () => void): void {
    if (!this.#table.faults.isDown) return change()
    this.#clock.after(millis(100), () => this.#whenStoreUp(change))
  }

  #write (members: readonly RosterLife[], departed: readonly DepartedLife[]): void {
    this.#record = { version: this.#record.version + 1, members, departed }
    const value = JSON.parse(JSON.stringify(this.#record))
    void this.#table.commit({ conditions: [], writes: [{ key: ROSTER_ROW, value }] })
  }

  #endpoint (index: number): FakeEndpoint {
    return this.#fleet.all()[index]!
  }
}

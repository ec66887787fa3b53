import { setMaxListeners } from 'node:events'
import { brand, GatedClock, InstanceGate, millis, SeededRandom, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type {
  ClassId, Clock, DomainId, EndpointId, InstanceId, Millis, Random, RegionId, RequestId, ServiceId, StageId, VersionId, WorkspaceId
} from '@papayahill/common'
import { RosterManager } from '@papayahill/control'
import type { Roster } from '@papayahill/control'
import { EndpointTable } from '@papayahill/endpoints'
import type { EndpointAccess, EndpointLease, InstanceSelf, LeaseRequest, PeerChannel, StageCall } from '@papayahill/endpoints'
import { createPeerChannel } from '@papayahill/instance'
import { Trace } from '@papayahill/invariants'
import type { Peers } from '@papayahill/peers'
import type { InstanceList, ListedEndpoint, ObjectStore, TableService } from '@papayahill/stores'
import type { ServiceKind } from '@papayahill/settings'
import {
  FakeEndpoint, FakeEndpointAccess, FakeFleet, FakeInstanceList, FakeObjectStore, FakePeerNetwork, FakeTable, GatedEndpointAccess,
  GatedInstanceList, GatedObjectStore, GatedTable
} from '@papayahill/standins'
import type { WorkModel } from '@papayahill/standins'
import { GatedPeers } from '../state/GatedPeers.js'
import { DisconnectableTable } from './DisconnectableTable.js'
import { removeFromRoster } from './removeFromRoster.js'
import type { LeasePool } from './SimplePool.js'

export const SERVICE = brand<ServiceId>('lookup')
export const VERSION = brand<VersionId>('v1')
const REGION = brand<RegionId>('r1')
const LEASE_RETRY = millis(40)
const STORE_RETRY = millis(100)
const CALL_TIMEOUT = millis(5000)

export const LEASE_REQUEST: LeaseRequest = {
  service: SERVICE,
  versions: [VERSION],
  class: brand<ClassId>('stock'),
  workspace: brand<WorkspaceId>('norte'),
  exclude: new Set()
}

/** Dependencies of the pool of one instance. */
export interface PoolParts {
  readonly self: InstanceSelf
  readonly domain: DomainId
  readonly clock: Clock
  readonly random: Random
  readonly access: EndpointAccess
  readonly list: InstanceList
  readonly roster: Roster
  readonly channel: PeerChannel
  readonly peers: Peers
  readonly table: TableService
  readonly objects: ObjectStore
}

/** One instance of the rig. */
export interface RigMember {
  readonly self: InstanceSelf
  readonly gate: InstanceGate
  readonly table: DisconnectableTable
  readonly roster: RosterManager
  readonly pool: LeasePool
  readonly stop: () => void
  /** Maximum number of concurrent calls from its callers. */
  readonly maxConcurrency: number
  isServing: boolean
  /** Whether its callers currently send calls. */
  hasCallers: boolean
  running: number
}

export interface EndpointRigOptions {
  readonly seed: number
  readonly reportLag: Millis
  readonly listLag: Millis
  readonly kind: ServiceKind
  readonly model: WorkModel
  readonly makePool: (parts: PoolParts) => LeasePool
  /** Returns the prompt prefix of the next call. */
  readonly nextPrefix?: () => string
  readonly lostCacheEventShare?: number
  /** Delay of cache events; `reportLag` by default. */
  readonly eventLag?: Millis
}

/** The endpoint table under test; `extra` overrides its options. */
export const realPool = (
  parts: Omit<PoolParts, 'peers' | 'table' | 'objects'>, kind: ServiceKind, extra: Partial<ConstructorParameters<typeof EndpointTable>[0]> = {}
): EndpointTable => new EndpointTable({
  ...parts,
  regionOf: () => REGION,
  domainsOut: () => new Set<DomainId>(),
  serviceKind: () => kind,
  log: SILENT_LOG,
  ...extra
})

/**
 * Pools of several instances on shared stand-ins, each driven by a closed loop of calls.
 *
 * @example
 * const rig = new EndpointRig({ seed, reportLag, listLag, kind: 'plain', model, makePool })
 * rig.addEndpoint(0, domain).warmUp()
 * rig.addMember(domain, 12)
 */
export class EndpointRig {
  readonly clock = new VirtualClock()
  readonly trace = new Trace()
  readonly random: Random
  readonly table: FakeTable
  readonly list: FakeInstanceList
  readonly network: FakePeerNetwork
  readonly members: RigMember[] = []
  calls = 0
  failures = 0
  readonly #options: EndpointRigOptions
  readonly #objects: FakeObjectStore
  readonly #fleet = new FakeFleet()
  /** Signal of calls that are never cancelled. */
  readonly #neverAborted = new AbortController().signal

  constructor (options: EndpointRigOptions) {
    this.#options = options
    this.random = new SeededRandom(options.seed)
    setMaxListeners(0, this.#neverAborted)
    this.table = new FakeTable(this.clock, this.random.fork())
    this.list = new FakeInstanceList(this.clock)
    this.list.lag = options.listLag
    this.network = new FakePeerNetwork(this.clock)
    this.#objects = new FakeObjectStore(this.clock)
  }

  get endpoints (): readonly FakeEndpoint[] {
    return this.#fleet.all()
  }

  addEndpoint (index: number, domain: DomainId): FakeEndpoint {
    const { kind, model } = this.#options
    const listed: ListedEndpoint = {
      id: brand<EndpointId>(`e${index}`),
      service: SERVICE,
      version: VERSION,
      domain,
      address: { ip: '127.0.0.1', port: 7000 + index },
      state: 'live'
    }
    const endpoint = new FakeEndpoint({ clock: this.clock, random: this.random.fork(), trace: this.trace, listed, kind, model })
    this.#fleet.add(endpoint)
    this.list.setEndpoint(listed)
    return endpoint
  }

  addMember (domain: DomainId, maxConcurrency: number): RigMember {
    const id = brand<InstanceId>(`i${this.members.length}`)
    const gate = new InstanceGate()
    const clock = new GatedClock(this.clock, gate)
    const peers = new GatedPeers(this.network.join(id, domain), gate)
    const self: InstanceSelf = { id, incarnation: peers.incarnation }
    const table = new DisconnectableTable(new GatedTable(this.table, gate))
    const roster = new RosterManager({
      self: id, incarnation: self.incarnation, clock, random: this.random.fork(), table, peers, log: SILENT_LOG
    })
    const pool = this.#options.makePool({
      self,
      domain,
      clock,
      random: this.random.fork(),
      access: this.#accessOf(id, gate),
      list: new GatedInstanceList(this.list, gate),
      roster,
      channel: createPeerChannel(peers),
      peers,
      table,
      objects: new GatedObjectStore(this.#objects, gate)
    })
    const stop = (): void => {
      pool.stop()
      roster.stop()
    }
    const member: RigMember = { self, gate, table, roster, pool, stop, maxConcurrency, isServing: true, hasCallers: true, running: 0 }
    this.members.push(member)
    void roster.start()
    pool.start()
    clock.every(LEASE_RETRY, () => this.#serve(member))
    return member
  }

  pause (member: RigMember, span: Millis): void {
    member.gate.pause()
    this.network.pause(member.self.id)
    this.clock.after(span, () => {
      if (member.gate.isDead) return
      this.network.resume(member.self.id)
      member.gate.resume()
    })
  }

  /** Disconnects a member from the store and the other instances for `span`. */
  isolate (member: RigMember, span: Millis): void {
    const others = this.members.filter((other) => other !== member).map((other) => other.self.id)
    member.table.isDisconnected = true
    for (const other of others) this.network.partition(member.self.id, other)
    this.clock.after(span, () => {
      member.table.isDisconnected = false
      for (const other of others) this.network.heal(member.self.id, other)
    })
  }

  kill (member: RigMember): void {
    member.isServing = false
    member.gate.kill()
    this.network.kill(member.self.id)
  }

  /** Removes a member from the roster once the store is up, earlier than the other instances would. */
  remove (member: RigMember): void {
    this.whenStoreUp(() => { void removeFromRoster(this.table, member.self.incarnation, this.clock.wall()) })
  }

  whenStoreUp (change: () => void): void {
    if (!this.table.faults.isDown) return change()
    this.clock.after(STORE_RETRY, () => this.whenStoreUp(change))
  }

  async run (span: Millis): Promise<void> {
    await this.clock.advance(span)
    for (const member of this.members) {
      member.isServing = false
      member.stop()
    }
  }

  #accessOf (instance: InstanceId, gate: InstanceGate): EndpointAccess {
    const { reportLag, lostCacheEventShare, eventLag } = this.#options
    return new GatedEndpointAccess(new FakeEndpointAccess({
      clock: this.clock,
      random: this.random.fork(),
      fleet: this.#fleet,
      instance,
      lag: reportLag,
      ...(lostCacheEventShare === undefined ? {} : { lostCacheEventShare }),
      ...(eventLag === undefined ? {} : { eventLag })
    }), gate)
  }

  /** Closed loop: starts as many concurrent calls as the member's limit and its pool allow. */
  #serve (member: RigMember): void {
    while (member.isServing && member.hasCallers && member.running < member.maxConcurrency) {
      const prefix = this.#options.nextPrefix?.()
      const lease = member.pool.tryLease(prefix === undefined ? LEASE_REQUEST : { ...LEASE_REQUEST, prefix })
      if (lease === undefined) return
      void this.#call(member, lease, prefix)
    }
  }

  async #call (member: RigMember, lease: EndpointLease, prefix: string | undefined): Promise<void> {
    this.calls++
    member.running++
    const started = this.clock.now()
    const answer = await lease.connection.call(this.#stageCall(prefix), () => {}, this.#neverAborted)
    member.running--
    if (answer.isErr) this.failures++
    lease.release(answer.isOk ? 'done' : answer.error.outcome, millis(this.clock.now() - started))
    this.#serve(member)
  }

  #stageCall (prefix: string | undefined): StageCall {
    return {
      id: { request: brand<RequestId>(`r${this.calls}`), stage: brand<StageId>('lookup'), attempt: 1 },
      service: SERVICE,
      kind: this.#options.kind,
      class: LEASE_REQUEST.class,
      workspace: LEASE_REQUEST.workspace,
      body: null,
      priority: 0,
      timeout: CALL_TIMEOUT,
      isStreamed: false,
      ...(prefix === undefined ? {} : { prefix })
    }
  }
}

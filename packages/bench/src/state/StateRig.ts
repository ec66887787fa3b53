import { ClaimManager } from '@papayahill/claims'
import type { ClaimManagerOptions, Claims, KeyLookUp } from '@papayahill/claims'
import { brand, EventRecorder, GatedClock, InstanceGate, SeededRandom, VirtualClock } from '@papayahill/common'
import type { DomainId, InstanceId, Millis } from '@papayahill/common'
import { ConfigManager, MeteredTable, RosterManager } from '@papayahill/control'
import type { ConfigManagerOptions, ConfigLog } from '@papayahill/control'
import { FakeObjectStore, FakePeerNetwork, FakeTable, GatedObjectStore, GatedTable } from '@papayahill/standins'
import { GatedPeers } from './GatedPeers.js'

export interface StateRigOptions {
  readonly seed: number
  readonly instances: number
  readonly lookUp?: KeyLookUp
  /** Whether instances meter and limit their calls to the table. */
  readonly isMetered?: boolean
  /** Creates the configuration log; {@link ConfigManager} by default. */
  readonly configOf?: (options: ConfigManagerOptions) => StartedConfig
  /** Creates the claims; {@link ClaimManager} by default. */
  readonly claimsOf?: (options: ClaimManagerOptions) => Claims
  /** Number of members from which roster confirmations are relayed between peers. */
  readonly relayFrom?: number
  /** Whether instances keep a configuration; true by default. */
  readonly hasConfig?: boolean
}

/** A configuration log that has to be started. */
export interface StartedConfig extends ConfigLog {
  readonly isReady: boolean
  start (): Promise<void>
}

/** One incarnation of an instance with its stateful components. */
export class StateInstance {
  readonly id: InstanceId
  readonly incarnationNumber: number
  readonly gate = new InstanceGate()
  readonly clock: GatedClock
  readonly events: EventRecorder
  readonly peers: GatedPeers
  readonly roster: RosterManager
  readonly config: StartedConfig
  readonly claims: Claims
  readonly #hasConfig: boolean

  constructor (rig: StateRig, id: InstanceId, incarnationNumber: number, options: StateRigOptions) {
    this.id = id
    this.incarnationNumber = incarnationNumber
    this.clock = new GatedClock(rig.clock, this.gate)
    this.events = new EventRecorder(this.clock)
    this.peers = new GatedPeers(rig.network.join(id, brand<DomainId>('d1')), this.gate)
    const gated = new GatedTable(rig.table, this.gate)
    const random = rig.random.fork()
    const metered = new MeteredTable({ table: gated, clock: this.clock, random, members: () => options.instances, log: this.events })
    const base = {
      self: id,
      incarnation: this.peers.incarnation,
      clock: this.clock,
      random,
      table: options.isMetered === true ? metered : gated,
      peers: this.peers,
      log: this.events
    }
    this.roster = new RosterManager({ ...base, relayFrom: options.relayFrom })
    const configOptions = { ...base, objects: new GatedObjectStore(rig.objects, this.gate), roster: this.roster }
    this.config = options.configOf?.(configOptions) ?? new ConfigManager(configOptions)
    const claimOptions = { ...base, roster: this.roster, lookUp: options.lookUp }
    this.claims = options.claimsOf?.(claimOptions) ?? new ClaimManager(claimOptions)
    this.#hasConfig = options.hasConfig ?? true
  }

  get isAlive (): boolean {
    return !this.gate.isDead
  }

  async start (): Promise<void> {
    if (this.claims instanceof ClaimManager) this.claims.start()
    await Promise.all([this.roster.start(), this.#hasConfig ? this.config.start() : undefined])
  }
}

/** Several instances on one store and one peer network, in virtual time. */
export class StateRig {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly table: FakeTable
  readonly objects: FakeObjectStore
  readonly network: FakePeerNetwork
  readonly ids: readonly InstanceId[]
  readonly #options: StateRigOptions
  readonly #instances = new Map<InstanceId, StateInstance>()
  #incarnations = 0

  constructor (options: StateRigOptions) {
    this.#options = options
    this.random = new SeededRandom(options.seed)
    this.table = new FakeTable(this.clock, this.random.fork())
    this.objects = new FakeObjectStore(this.clock)
    this.network = new FakePeerNetwork(this.clock)
    this.ids = Array.from({ length: options.instances }, (_, index) => brand<InstanceId>(`i${index + 1}`))
  }

  /** Running instances, including paused ones. */
  all (): readonly StateInstance[] {
    return [...this.#instances.values()]
  }

  get (id: InstanceId): StateInstance {
    const instance = this.#instances.get(id)
    if (instance === undefined) throw new Error(`instance ${id} is not running`)
    return instance
  }

  at (index: number): StateInstance {
    return this.get(this.ids[index]!)
  }

  /** Creates a new incarnation of an instance without starting it. */
  create (id: InstanceId): StateInstance {
    this.#instances.get(id)?.gate.kill()
    const instance = new StateInstance(this, id, ++this.#incarnations, this.#options)
    this.#instances.set(id, instance)
    return instance
  }

  start (id: InstanceId): StateInstance {
    const instance = this.create(id)
    void instance.start()
    return instance
  }

  /** Starts every instance and advances the clock by `settle`. */
  async startAll (settle: Millis): Promise<void> {
    for (const id of this.ids) this.start(id)
    await this.clock.advance(settle)
  }

  kill (id: InstanceId): void {
    this.#instances.get(id)?.gate.kill()
    this.#instances.delete(id)
    this.network.kill(id)
  }

  pause (id: InstanceId): void {
    this.#instances.get(id)?.gate.pause()
    this.network.pause(id)
  }

  resume (id: InstanceId): void {
    this.network.resume(id)
    this.#instances.get(id)?.gate.resume()
  }
}

import { brand, EventRecorder, millis, seconds, SeededRandom, VirtualClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId, Millis, Random } from '@papayahill/common'
import { DutyLease } from '../DutyLease.js'
import type { DutyTable, FencingToken } from '../types.js'
import { DutyNetwork } from './DutyNetwork.js'
import { DutyPlatform } from './DutyPlatform.js'
import { DutySender } from './DutySender.js'
import { FaultyDutyTable } from './FaultyDutyTable.js'
import type { FreezeKind } from './SimulatedMachine.js'
import { SimulatedMachine } from './SimulatedMachine.js'

const LEASE_TIME = seconds(3)
const SPREAD_TIME = millis(50)
const DOMAINS = 6
/** Time for which a process goes on after it has handed the lease over. */
const STOP_TIME = seconds(1)
/** Deviation of each machine's clocks from the true rate, in either direction; two machines differ by the drift that the lease allows. */
const DRIFT = 0.05
/** Capacities of the instances in turn, in cores. */
const CAPACITIES = [1.35, 0.9, 0.6, 1.2, 0.243, 0.75]

export interface DutyHarnessOptions {
  readonly size: number
  readonly seed?: number
  /** False for the baseline without the check right before the send. */
  readonly checksBeforeSend?: boolean
  readonly namesEra?: boolean
  /** Longest time until published entries have reached all instances. */
  readonly spreadTime?: Millis
}

export interface DutyInstance {
  readonly number: number
  readonly id: InstanceId
  readonly machine: SimulatedMachine
  readonly lease: DutyLease
  /** False after a kill or a stop. */
  isRunning: boolean
  isFrozen: boolean
}

/**
 * Instances that share one lease and call the platform while they hold it, in virtual time.
 *
 * @example
 * const harness = new DutyHarness({ size: 6 })
 * await harness.startAll()
 * harness.kill(harness.holder!)
 */
export class DutyHarness {
  readonly clock = new VirtualClock()
  readonly events = new EventRecorder(this.clock)
  readonly store: FaultyDutyTable
  readonly network: DutyNetwork
  readonly platform = new DutyPlatform(this.clock, LEASE_TIME)
  readonly instances: DutyInstance[] = []
  readonly random: Random
  readonly #machines: SimulatedMachine[] = []
  readonly #size: number
  readonly #checksBeforeSend: boolean
  #starts = 0

  constructor ({ size, seed = 1, checksBeforeSend = true, namesEra = true, spreadTime = SPREAD_TIME }: DutyHarnessOptions) {
    this.#size = size
    this.random = new SeededRandom(seed)
    this.#checksBeforeSend = checksBeforeSend
    this.store = new FaultyDutyTable({ clock: this.clock, namesEra, checksEra: false })
    this.network = new DutyNetwork(this.clock, this.random.fork(), spreadTime)
  }

  /** The instance that may act now; undefined if none may, or if the holder is frozen. */
  get holder (): DutyInstance | undefined {
    return this.instances.find(({ isRunning, isFrozen, lease }) => isRunning && !isFrozen && lease.isHeld)
  }

  /** The fencing tokens that were taken, in order of time. */
  get takenTokens (): readonly FencingToken[] {
    return this.events.records.filter(({ kind }) => kind.name === 'leaseTaken' || kind.name === 'leaseReclaimed')
      .map(({ fields: { token } }) => brand<FencingToken>(token as number))
  }

  /** Starts all instances, and waits until one holds the lease. */
  async startAll (): Promise<void> {
    for (let number = 0; number < this.#size; number++) this.start(number)
    await this.clock.advanceUntil(() => this.holder !== undefined, seconds(10))
  }

  /** Starts a process on a machine, with the same id as the one before. */
  start (number: number): void {
    if (this.instances[number]?.isRunning === true) return
    const machine = this.#machineOf(number)
    machine.restart()
    const id = brand<InstanceId>(`ph-${number}`)
    const incarnation = brand<Incarnation>(`${id}@${String(++this.#starts).padStart(6, '0')}`)
    const capacity = CAPACITIES[number % CAPACITIES.length]!
    const random = this.random.fork()
    const peers = this.network.join({ id, incarnation, domain: brand<DomainId>(`d${number % DOMAINS}`), capacity, machine })
    const lease = new DutyLease({
      self: id, incarnation, clock: machine, elapsed: machine, random, table: this.#tableOf(id, machine), peers, capacity, log: this.events
    })
    this.instances[number] = { number, id, machine, lease, isRunning: true, isFrozen: false }
    const { clock, platform } = this
    new DutySender({ number, id, machine, clock, random, lease, platform, checksBeforeSend: this.#checksBeforeSend }).start()
    lease.start()
  }

  kill (instance: DutyInstance): void {
    instance.machine.kill()
    instance.isRunning = false
    this.network.setSilent(instance.id, true)
  }

  /** Stops as planned: hands the lease over, then ends the process. */
  async stop (instance: DutyInstance): Promise<void> {
    await instance.lease.stop()
    await instance.machine.sleep(STOP_TIME)
    if (this.instances[instance.number] === instance) this.kill(instance)
  }

  freeze (instance: DutyInstance, kind: FreezeKind): void {
    if (!instance.isRunning || instance.isFrozen) return
    instance.isFrozen = true
    instance.machine.freeze(kind)
    this.network.setSilent(instance.id, true)
  }

  resume (instance: DutyInstance): void {
    if (!instance.isFrozen) return
    instance.isFrozen = false
    if (!instance.isRunning) return
    this.network.setSilent(instance.id, false)
    instance.machine.resume()
  }

  /** Heals everything that can be healed. */
  healAll (): void {
    this.store.isDown = false
    this.store.latency = millis(5)
    this.store.lostAnswers = 0
    this.store.lateCommits = 0
    for (const instance of this.instances) {
      this.store.admit(instance.id)
      this.network.heal(instance.id)
      this.resume(instance)
    }
  }

  #machineOf (number: number): SimulatedMachine {
    this.#machines[number] ??= new SimulatedMachine(this.clock, 1 + (this.random.next() < 0.5 ? DRIFT : -DRIFT))
    return this.#machines[number]
  }

  #tableOf (id: InstanceId, { gate }: SimulatedMachine): DutyTable {
    const view = this.store.viewFor(id)
    return { read: () => gate.pass(view.read()), commit: (change) => gate.pass(view.commit(change)) }
  }
}

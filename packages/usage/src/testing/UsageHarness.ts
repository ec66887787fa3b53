import { brand, millis, MILLIS_PER_SECOND, seconds, SeededRandom, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { DomainId, EventLog, Incarnation, InstanceId, Millis, WorkspaceId } from '@papayahill/common'
import { FaultyDutyTable } from '@papayahill/duties'
import { MemoryNetwork } from '@papayahill/peers'
import { DEFAULT_WINDOW } from '../constants.js'
import { UsageInstance } from './UsageInstance.js'
import { UsagePlatform } from './UsagePlatform.js'

const DOMAINS = 6
const FIRST_PORT = 30_000
/** CPU shares of the instances, in cores, one after the other. */
const CAPACITIES = [1.35, 0.243, 1, 0.5, 1.2, 0.8, 0.3]
const LOAD_PERIOD = millis(20)
const WAVE_PERIOD = seconds(17)

export interface UsageHarnessOptions {
  readonly instances: number
  readonly seed: number
  /** Requests per second of all instances together, and the workspaces that they belong to. */
  readonly requestsPerSecond?: number
  readonly workspaces?: number
  /** How far the wall clock of an instance is ahead at its start. */
  readonly skewOf?: (at: number) => Millis
  /** Whether the store names its era. */
  readonly namesEra?: boolean
  readonly log?: EventLog
  /** Whether each instance has a table of its own and tells others neither what it has written nor what it has collected. */
  readonly isAlone?: boolean
}

/**
 * Instances that count and report usage, over links in memory and in virtual time, with the faults of machines, store, platform and
 * clocks.
 *
 * @example
 * const harness = new UsageHarness({ instances: 6, seed: 1 })
 * await harness.start()
 * await harness.clock.advance(seconds(60))
 */
export class UsageHarness {
  readonly clock = new VirtualClock()
  readonly network = new MemoryNetwork(this.clock)
  readonly store = new FaultyDutyTable({ clock: this.clock })
  readonly platform = new UsagePlatform(this.clock, DEFAULT_WINDOW)
  readonly instances: UsageInstance[] = []
  /** All processes that were ever started. */
  readonly processes: UsageInstance[] = []
  readonly #options: UsageHarnessOptions
  readonly #random: SeededRandom
  readonly #workspaces: readonly WorkspaceId[]
  #incarnations = 0

  constructor (options: UsageHarnessOptions) {
    this.#options = options
    this.#random = new SeededRandom(options.seed)
    if (options.namesEra === false) this.store = new FaultyDutyTable({ clock: this.clock, namesEra: false })
    this.#workspaces = Array.from({ length: options.workspaces ?? 8 }, (_none, at) => brand<WorkspaceId>(`workspace-${at}`))
  }

  /** Starts all instances within about 300 ms, and their callers once links are established. */
  async start (settle = seconds(6)): Promise<void> {
    const { instances } = this.#options
    for (let at = 0; at < instances; at++) {
      this.add(at)
      await this.clock.advance(millis(300 / instances))
    }
    await this.clock.advance(settle)
    this.clock.every(LOAD_PERIOD, () => this.#run())
  }

  /** Calls to the store for reports, of all instances. */
  get storeCalls (): number {
    return this.processes.reduce((sum, { storeCalls }) => sum + storeCalls, 0)
  }

  get alive (): readonly UsageInstance[] {
    return this.instances.filter(({ gate }) => !gate.isDead)
  }

  /** The instance that holds the lease. */
  get holder (): UsageInstance | undefined {
    return this.alive.find(({ lease }) => lease.isHeld)
  }

  /** Starts an instance, or starts it anew under its id. */
  add (at: number): UsageInstance {
    const { seed, skewOf, log = SILENT_LOG, isAlone = false } = this.#options
    const id = brand<InstanceId>(`ph-${at}`)
    const incarnation = brand<Incarnation>(`${id}@${String(this.#incarnations++).padStart(6, '0')}`)
    const domain = brand<DomainId>(`hall-${at % DOMAINS}`)
    const instance = new UsageInstance({
      identity: { id, incarnation, domain, address: { ip: '10.0.0.1', port: FIRST_PORT + at } },
      capacity: CAPACITIES[at % CAPACITIES.length]!,
      skew: skewOf?.(at) ?? millis(0),
      seed: seed * 1000 + this.#incarnations,
      network: this.network,
      table: this.store.viewFor(id),
      ownTable: isAlone ? new FaultyDutyTable({ clock: this.clock }).viewFor(id) : undefined,
      channel: (sender) => ({
        send: (report, permit) => {
          if (sender.diesBeforeSend) this.kill(sender)
          return sender.gate.isDead ? new Promise(() => {}) : sender.gate.pass(this.platform.send(report, permit))
        }
      }),
      listed: () => this.instances.map(({ identity }) => identity),
      log
    })
    this.instances[at] = instance
    this.processes.push(instance)
    instance.start()
    return instance
  }

  /** Ends an instance abruptly, as if its process were killed. */
  kill (instance: UsageInstance): void {
    instance.gate.kill()
    this.network.kill(instance.identity)
  }

  /** Ends an instance as planned; it gets no requests from now on. */
  stop (instance: UsageInstance): void {
    void instance.stop().then(() => this.kill(instance))
  }

  /** Number of the window of this moment of true time. */
  get window (): number {
    return Math.floor(this.clock.wall() / DEFAULT_WINDOW)
  }

  /** Requests of this step, at random instances; the rate swings, so that windows differ. */
  #run (): void {
    const { requestsPerSecond = 400 } = this.#options
    const alive = this.alive.filter(({ isStopping, isFrozen }) => !isStopping && !isFrozen)
    const wave = 1 + 0.6 * Math.sin(2 * Math.PI * this.clock.now() / WAVE_PERIOD)
    const expected = requestsPerSecond * wave * LOAD_PERIOD / MILLIS_PER_SECOND
    const requests = Math.floor(expected) + (this.#random.next() < expected % 1 ? 1 : 0)
    for (let at = 0; at < requests && alive.length > 0; at++) {
      const workspace = this.#workspaces[this.#random.below(this.#workspaces.length)]!
      this.platform.noteRequest(workspace)
      alive[this.#random.below(alive.length)]!.usage.count(workspace)
    }
  }
}

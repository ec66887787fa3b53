import { brand, EventRecorder, GatedClock, InstanceGate, seconds, SeededRandom, VirtualClock } from '@papayahill/common'
import type {
  DomainId, EndpointId, Failure, InstanceId, OperatorName, Random, RegionId, RequestId
} from '@papayahill/common'
import type { ConfigChange } from '@papayahill/control'
import { Instance } from '@papayahill/instance'
import { Trace } from '@papayahill/invariants'
import type { ListedEndpoint } from '@papayahill/stores'
import {
  FakeEndpoint, FakeEndpointAccess, FakeFleet, FakeInstanceList, FakeObjectStore, FakePeerNetwork, FakeTable, GatedEndpointAccess,
  GatedInstanceList, GatedObjectStore, GatedTable
} from '@papayahill/standins'
import type { Result } from 'true-myth'
import { FakeOrderChannel } from './FakeOrderChannel.js'
import { TaggedLog } from './TaggedLog.js'
import { TracedCall } from './TracedCall.js'
import type { CallerAnswer, CallerPlan, DeploymentPlan, EndpointPlan } from './types.js'

const OPERATOR = brand<OperatorName>('operator')
const START_TIMEOUT = seconds(30)
const CONFIG_TIMEOUT = seconds(10)

interface RunningInstance {
  readonly instance: Instance
  readonly gate: InstanceGate
  readonly access: FakeEndpointAccess
  readonly disconnects: Set<() => void>
}

/**
 * A whole deployment in one process and virtual time: real instances in front of stand-ins, callers that record
 * their requests, and a trace for the invariant checks.
 *
 * @example
 * const testbed = new Testbed(plan, 7)
 * await testbed.start()
 * const answer = await testbed.finish(testbed.send({ workspace, class: classId, body: {} }))
 */
export class Testbed {
  readonly clock = new VirtualClock()
  readonly events: EventRecorder
  readonly trace = new Trace()
  readonly table: FakeTable
  readonly objects: FakeObjectStore
  readonly list: FakeInstanceList
  readonly network: FakePeerNetwork
  readonly fleet = new FakeFleet()
  readonly orderChannel = new FakeOrderChannel()
  readonly #plan: DeploymentPlan
  readonly #random: Random
  readonly #running = new Map<InstanceId, RunningInstance>()
  readonly #domains: readonly DomainId[]
  #instances = 0
  #endpoints = 0
  #requests = 0
  #nextIndex = 0

  constructor (plan: DeploymentPlan, seed: number) {
    this.#plan = plan
    this.#random = new SeededRandom(seed)
    this.events = new EventRecorder(this.clock)
    this.table = new FakeTable(this.clock, this.#random.fork())
    this.objects = new FakeObjectStore(this.clock)
    this.list = new FakeInstanceList(this.clock)
    this.network = new FakePeerNetwork(this.clock)
    this.#domains = [...plan.config.domains.keys()]
  }

  /** Instances that a load balancer would currently send requests to. */
  get ready (): readonly InstanceId[] {
    return [...this.#running.values()].filter(({ instance, gate }) => instance.isReady && !gate.isDead).map(({ instance }) => instance.self)
  }

  instance (id: InstanceId): Instance {
    return this.#get(id).instance
  }

  /** Starts endpoints and instances and applies the configuration. */
  async start (): Promise<void> {
    for (const plan of this.#plan.endpoints) this.addEndpoints(plan)
    const started = Array.from({ length: this.#plan.instances }, () => this.addInstance())
    await this.finish(Promise.all(started), START_TIMEOUT)
    await this.finish(this.change([{ kind: 'replace', config: this.#plan.config }]))
    await this.clock.advance(seconds(5))
  }

  /** Adds a group of endpoints, cold unless the plan sets `isWarm`. */
  addEndpoints (plan: EndpointPlan): readonly FakeEndpoint[] {
    return Array.from({ length: plan.count }, () => this.#addEndpoint(plan))
  }

  /** Starts another instance; resolves once it is ready. */
  async addInstance (): Promise<InstanceId> {
    this.#instances++
    const id = brand<InstanceId>(`i${this.#instances}`)
    await this.#startInstance(id)
    return id
  }

  /** Starts a new incarnation of an instance that died or stopped. */
  async restartInstance (id: InstanceId): Promise<void> {
    await this.#startInstance(id)
  }

  /** Simulates the death of the process: all its work stops and its callers' connections break. */
  kill (id: InstanceId): void {
    const running = this.#get(id)
    this.trace.add({ type: 'instance-died', at: this.clock.now(), instance: id })
    running.gate.kill()
    this.network.kill(id)
    this.list.removeInstance(id)
    for (const disconnect of [...running.disconnects]) disconnect()
    this.#running.delete(id)
  }

  pause (id: InstanceId): void {
    this.#get(id).gate.pause()
    this.network.pause(id)
  }

  resume (id: InstanceId): void {
    this.network.resume(id)
    this.#get(id).gate.resume()
  }

  /** Shuts an instance down gracefully, as on SIGTERM. */
  async drain (id: InstanceId): Promise<void> {
    const running = this.#get(id)
    this.trace.add({ type: 'instance-stopping', at: this.clock.now(), instance: id })
    await running.instance.drain()
    await running.instance.stop()
    for (const disconnect of [...running.disconnects]) disconnect()
    this.network.kill(id)
    this.list.removeInstance(id)
    this.#running.delete(id)
  }

  /** Proposes configuration changes to the first ready instance. */
  async change (changes: readonly ConfigChange[]): Promise<Result<{ readonly version: number }, Failure>> {
    const id = this.ready[0]
    if (id === undefined) throw new Error('no instance is ready to accept a configuration change')
    return await this.instance(id).config.propose(changes, OPERATOR)
  }

  /** Advances virtual time until `work` settles; throws if that takes longer than `limit`. */
  async finish<Value> (work: Promise<Value>, limit = CONFIG_TIMEOUT): Promise<Value> {
    let isDone = false
    const done = work.finally(() => { isDone = true })
    done.catch(() => {})
    const isInTime = await this.clock.advanceUntil(() => isDone, limit)
    if (!isInTime) throw new Error(`work did not settle within ${limit} ms of virtual time`)
    return await done
  }

  /** Sends one request as a caller and records it in the trace. */
  send (plan: CallerPlan): Promise<CallerAnswer> {
    const instance = plan.to ?? this.#pickInstance()
    this.#requests++
    const call = new TracedCall({
      clock: this.clock,
      trace: this.trace,
      plan,
      request: brand<RequestId>(`r${this.#requests}`),
      instance,
      isRepeatable: this.#plan.config.classes.get(plan.class)?.repeatable ?? true
    })
    const running = this.#running.get(instance)
    return running === undefined ? Promise.resolve(call.cut()) : this.#run(call, running)
  }

  async #run (call: TracedCall, running: RunningInstance): Promise<CallerAnswer> {
    const answered = running.instance.runner.run(call.toRequest(), call.sink)
    const disconnected = new Promise<undefined>((resolve) => { running.disconnects.add(() => resolve(undefined)) })
    const result = await Promise.race([answered, disconnected])
    return result === undefined ? call.cut() : call.end(result)
  }

  #pickInstance (): InstanceId {
    const ready = this.ready
    const picked = ready[this.#nextIndex % Math.max(1, ready.length)]
    this.#nextIndex++
    return picked ?? brand<InstanceId>('none')
  }

  #get (id: InstanceId): RunningInstance {
    const running = this.#running.get(id)
    if (running === undefined) throw new Error(`instance ${id} is not running`)
    return running
  }

  #addEndpoint (plan: EndpointPlan): FakeEndpoint {
    this.#endpoints++
    const listed: ListedEndpoint = {
      id: brand<EndpointId>(`${plan.service}-${this.#endpoints}`),
      service: plan.service,
      version: plan.version,
      domain: plan.domain,
      address: { ip: '127.0.0.1', port: 20000 + this.#endpoints },
      state: 'live'
    }
    const endpoint = new FakeEndpoint({
      clock: this.clock, random: this.#random.fork(), trace: this.trace, listed, kind: plan.kind, model: plan.model
    })
    if (plan.isWarm === true) endpoint.warmUp()
    this.fleet.add(endpoint)
    this.list.setEndpoint(listed)
    return endpoint
  }

  async #startInstance (id: InstanceId): Promise<void> {
    const gate = new InstanceGate()
    const clock = new GatedClock(this.clock, gate)
    const domain = this.#domains[this.#running.size % this.#domains.length] ?? brand<DomainId>('d1')
    const access = new FakeEndpointAccess({ clock: this.clock, random: this.#random.fork(), fleet: this.fleet, instance: id })
    const instance = new Instance({
      self: id,
      domain,
      region: this.#plan.config.domains.get(domain)?.region ?? brand<RegionId>('r1'),
      clock,
      random: this.#random.fork(),
      log: new TaggedLog(this.events, id),
      table: new GatedTable(this.table, gate),
      objects: new GatedObjectStore(this.objects, gate),
      instanceList: new GatedInstanceList(this.list, gate),
      access: new GatedEndpointAccess(access, gate),
      orderChannel: this.orderChannel,
      peers: this.network.join(id, domain)
    })
    this.#running.set(id, { instance, gate, access, disconnects: new Set() })
    this.list.setInstance({ id, domain, address: { ip: '127.0.0.1', port: 10000 + this.#instances }, state: 'live' })
    const started = await instance.start()
    if (started.isErr) throw new Error(`instance ${id} did not start: ${started.error.detail}`)
  }
}

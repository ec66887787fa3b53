import { ClaimManager } from '@papayahill/claims'
import { ConfigManager, MeteredTable, RosterManager } from '@papayahill/control'
import { CostManager } from '@papayahill/cost'
import { EndpointTable } from '@papayahill/endpoints'
import { ServingMetrics } from '@papayahill/metrics'
import { OrderManager } from '@papayahill/orders'
import type { Peers } from '@papayahill/peers'
import { PipelineServer } from '@papayahill/pipeline'
import { QuarantineManager } from '@papayahill/quarantine'
import { MoveManager } from '@papayahill/rollout'
import { ServiceScheduler } from '@papayahill/scheduling'
import { refusal } from '@papayahill/common'
import type { ClassId, DomainId, Failure, InstanceId, Random } from '@papayahill/common'
import type { OperatorConfig } from '@papayahill/settings'
import { Result } from 'true-myth'
import { DEREGISTRATION_DELAY, DRAIN_POLL_PERIOD, START_TIMEOUT, START_POLL_PERIOD } from './constants.js'
import { INSTANCE_EVENTS } from './events.js'
import { keyLookUp } from './keyLookUp.js'
import { createPeerChannel } from './createPeerChannel.js'
import type { EntryInstance, InstanceOptions } from './types.js'
import { versionCapacity } from './versionCapacity.js'

type Phase = 'starting' | 'serving' | 'draining' | 'stopped'

/**
 * Wires the parts of one instance together; its only own logic is the order of start and stop.
 *
 * @example
 * const instance = new Instance({ self, domain, region, clock, random, log, table, objects, instanceList, access, orderChannel, peers })
 * await instance.start()
 * const answer = await instance.runner.run(request, sink)
 */
export class Instance implements EntryInstance {
  readonly self: InstanceId
  readonly peers: Peers
  readonly table: MeteredTable
  readonly roster: RosterManager
  readonly config: ConfigManager
  readonly quarantines: QuarantineManager
  readonly pool: EndpointTable
  readonly claims: ClaimManager
  readonly moves: MoveManager
  readonly cost: CostManager
  readonly metrics: ServingMetrics
  readonly orders: OrderManager
  readonly scheduler: ServiceScheduler
  readonly runner: PipelineServer
  readonly #options: InstanceOptions
  #phase: Phase = 'starting'

  constructor (options: InstanceOptions) {
    const { self, clock, random, log, peers, objects } = options
    const incarnation = peers.incarnation
    this.#options = options
    this.self = self
    this.peers = peers
    this.table = new MeteredTable({
      table: options.table, clock, random: random.fork(), members: () => this.roster.view().members.length, log
    })
    const shared = { self, incarnation, clock, table: this.table, peers, log }
    this.roster = new RosterManager({ ...shared, random: random.fork() })
    this.config = new ConfigManager({ ...shared, random: random.fork(), objects, roster: this.roster })
    const config = (): OperatorConfig => this.config.view().config
    this.pool = this.#createPool()
    this.claims = this.#createClaims()
    this.moves = new MoveManager({
      ...shared, random: random.fork(), config: this.config, capacity: versionCapacity(this.pool)
    })
    this.cost = new CostManager({ ...shared, config })
    const attainmentOf = (classId: ClassId): number | undefined => config().classes.get(classId)?.target.attainment
    this.metrics = new ServingMetrics({ clock, watch: { log, attainmentOf } })
    this.orders = this.#createOrders()
    this.scheduler = new ServiceScheduler({ clock, random: random.fork(), pool: this.pool, config, log })
    const runnerRandom = random.fork()
    this.quarantines = new QuarantineManager({
      clock, random: random.fork(), log, peers, instances: () => this.roster.view().members.map(({ id }) => id)
    })
    this.runner = this.#createRunner(runnerRandom)
  }

  get isReady (): boolean {
    return this.#phase === 'serving' && this.config.isReady
  }

  /** Resolves once the instance has a configuration; an error if neither the store nor a peer provides one in time. */
  async start (): Promise<Result<void, Failure>> {
    await this.roster.start()
    await this.config.start()
    if (!await this.#waitForConfig()) {
      return Result.err(refusal('not-ready', 'neither the store nor a peer provided a configuration'))
    }
    this.pool.start()
    this.claims.start()
    this.moves.start()
    this.cost.start()
    this.metrics.start()
    this.orders.start()
    this.scheduler.start()
    this.#phase = 'serving'
    this.#options.log.emit(INSTANCE_EVENTS.instanceReady, { instance: this.self, version: this.config.view().version })
    return Result.ok(undefined)
  }

  async drain (): Promise<void> {
    if (this.#phase === 'draining') return
    this.#phase = 'draining'
    this.#options.log.emit(INSTANCE_EVENTS.instanceDraining, { instance: this.self, running: this.runner.running })
    await this.#options.clock.sleep(DEREGISTRATION_DELAY)
    while (this.runner.running > 0) await this.#options.clock.sleep(DRAIN_POLL_PERIOD)
    await this.claims.drain()
    await this.cost.flush()
    await this.roster.leave()
    this.#options.log.emit(INSTANCE_EVENTS.instanceDrained, { instance: this.self })
  }

  async stop (): Promise<void> {
    this.#phase = 'stopped'
    this.scheduler.stop()
    this.orders.stop()
    this.metrics.stop()
    this.cost.stop()
    this.moves.stop()
    this.claims.stop()
    this.pool.stop()
    this.config.stop()
    this.roster.stop()
    await this.peers.close()
  }

  async #waitForConfig (): Promise<boolean> {
    const { clock } = this.#options
    const until = clock.now() + START_TIMEOUT
    while (!this.config.isReady) {
      if (clock.now() >= until) return false
      await clock.sleep(START_POLL_PERIOD)
    }
    return true
  }

  #createClaims (): ClaimManager {
    const { self, clock, random, log, access, peers } = this.#options
    return new ClaimManager({
      self,
      incarnation: peers.incarnation,
      clock,
      random: random.fork(),
      table: this.table,
      peers,
      roster: this.roster,
      lookUp: keyLookUp({ access, pool: this.pool, config: () => this.config.view().config }),
      log
    })
  }

  #createOrders (): OrderManager {
    const { self, clock, log, instanceList, orderChannel, peers } = this.#options
    return new OrderManager({
      self,
      incarnation: peers.incarnation,
      clock,
      table: this.table,
      rosterAge: () => this.roster.age(),
      list: instanceList,
      channel: orderChannel,
      checksFencing: (service) => this.config.view().config.services.get(service)?.checksFencing ?? false,
      log
    })
  }

  #createRunner (random: Random): PipelineServer {
    const { clock, log } = this.#options
    return new PipelineServer({
      clock,
      random,
      scheduler: this.scheduler,
      claims: this.claims,
      config: () => this.config.view().config,
      versionsFor: (service, route) => this.moves.versionsFor(service, route),
      checkBudget: (workspace, classId) => this.cost.check(workspace, classId),
      observers: [this.moves, this.cost, this.metrics],
      quarantines: this.quarantines,
      log
    })
  }

  #createPool (): EndpointTable {
    const { self, domain, clock, random, log, access, instanceList, peers } = this.#options
    return new EndpointTable({
      self: { id: self, incarnation: peers.incarnation },
      domain,
      regionOf: (id) => this.config.view().config.domains.get(id)?.region,
      clock,
      random: random.fork(),
      access,
      list: instanceList,
      roster: this.roster,
      channel: createPeerChannel(peers),
      domainsOut: () => this.#domainsOut(),
      serviceKind: (service) => this.config.view().config.services.get(service)?.kind,
      onIncarnationEnded: (incarnation) => this.quarantines.confirmCrash(incarnation),
      log
    })
  }

  #domainsOut (): ReadonlySet<DomainId> {
    const { config, unrecordedOuts } = this.config.view()
    if (unrecordedOuts.size === 0) return config.domainsOut
    return new Set([...config.domainsOut, ...unrecordedOuts])
  }
}

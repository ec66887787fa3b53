import { brand, exponential, GatedClock, hash32, InstanceGate, millis, MILLIS_PER_SECOND, seconds, SeededRandom, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, Incarnation, InstanceId, Millis } from '@papayahill/common'
import { EndpointDirectory, EndpointNotices } from '@papayahill/directory'
import type { Endpoint } from '@papayahill/directory'
import { MemoryNetwork, PeerCore } from '@papayahill/peers'
import type { ListedPeer, PeerIdentity } from '@papayahill/peers'
import { Result } from 'true-myth'
import { KnownInstances } from '../KnownInstances.js'
import { SharedRateLimiter } from '../SharedRateLimiter.js'
import { timeUntilAvailable } from '../timeUntilAvailable.js'
import { UNLIMITED } from '../types.js'
import type { RequestLimits } from '../types.js'
import { LimitedServer } from './LimitedServer.js'
import { endpointRow, LIMITED_SERVICE } from './limitedEndpoint.js'
import { OwnBuckets } from './OwnBuckets.js'

/** Longest wait of a request for a token, and the period at which it looks for one. */
const MAX_WAIT = millis(300)
const RETRY_PERIOD = millis(40)
const DOMAINS = 6
const FIRST_PORT = 7000

/** How instances keep limits: together, not at all, or with a bucket each. */
export type LimitPolicy = 'shared' | 'ignored' | 'own-buckets'

/** An endpoint that requests of instances reach. */
export interface HarnessServer {
  readonly id: string
  /** Slots in its row of the list; by default more than any test needs. */
  readonly slots?: number
  serve (instance: LimitInstance, endpoint: Endpoint): Promise<void>
}

export interface LimitHarnessOptions {
  readonly instances: number
  readonly endpoints: number
  /** Requests per second of all callers together. */
  readonly requestsPerSecond: number
  readonly seed: number
  readonly policy?: LimitPolicy
  /** Whether an instance has callers; all have by default. */
  readonly hasCallers?: (at: number) => boolean
}

/** One instance: its links, its directory and its limits. */
export class LimitInstance {
  readonly identity: PeerIdentity
  readonly peers: PeerCore
  readonly directory: EndpointDirectory
  readonly limits: RequestLimits
  readonly gate = new InstanceGate()
  readonly clock: GatedClock
  readonly #random: SeededRandom
  served = 0
  refused = 0

  constructor (network: MemoryNetwork, identity: PeerIdentity, seed: number, policy: LimitPolicy, listed: () => readonly ListedPeer[]) {
    this.identity = identity
    this.clock = new GatedClock(network.clock, this.gate)
    this.#random = new SeededRandom(seed)
    const { clock } = this
    this.peers = new PeerCore({
      self: identity.id,
      incarnation: identity.incarnation,
      domain: identity.domain,
      clock,
      random: this.#random.fork(),
      transport: network.transport(identity),
      list: { list: () => Promise.resolve(Result.ok({ instances: listed() })) }
    })
    this.directory = new EndpointDirectory({ clock, log: SILENT_LOG, isDomainOut: () => false })
    const known = new KnownInstances({ clock, peers: this.peers, listed: () => listed().map(({ id }) => id) })
    this.limits = this.#limitsFor(policy, known)
    if (policy === 'shared') new EndpointNotices({ clock, directory: this.directory, peers: this.peers }).listen()
  }

  #limitsFor (policy: LimitPolicy, known: KnownInstances): RequestLimits {
    const { clock, directory, peers } = this
    if (policy === 'ignored') return UNLIMITED
    if (policy === 'own-buckets') return new OwnBuckets(clock, known)
    return new SharedRateLimiter({ clock, random: this.#random.fork(), directory, peers, known })
  }

  /** Records what an answer states about its endpoint's limit. */
  receive (endpoint: Endpoint, perSecond: number | undefined, sentAt: Millis): void {
    if (!this.gate.isDead) this.directory.noteLimit(endpoint, { perSecond, sentAt })
  }

  /** Places one request as the forwarder does: waits a little for a token, and is refused if it gets none. */
  async place (): Promise<Endpoint | undefined> {
    const { clock, directory, limits } = this
    const until = clock.now() + MAX_WAIT
    for (;;) {
      const endpoints = directory.healthy(LIMITED_SERVICE)
      const sendable = endpoints.filter((endpoint) => limits.canSend(endpoint) && !endpoint.isSuspect(clock.now()))
      const unconfirmed = sendable.filter((endpoint) => limits.isUnconfirmed(endpoint))
      const open = unconfirmed.length > 0 ? unconfirmed : sendable
      const chosen = open[this.#random.below(Math.max(1, open.length))]
      if (chosen !== undefined && limits.trySend(chosen)) return chosen
      if (clock.now() + timeUntilAvailable(limits, endpoints, clock.now()) >= until) return undefined
      const askable = endpoints.filter((endpoint) => limits.availableIn(endpoint) === 0)
      if (askable.length > 0) limits.request(askable[this.#random.below(askable.length)]!)
      if (limits instanceof SharedRateLimiter) await limits.waitForPlace(LIMITED_SERVICE, RETRY_PERIOD)
      else await clock.sleep(RETRY_PERIOD)
    }
  }

  /** Time until the next request of this instance's callers. */
  nextArrival (perSecond: number): Millis {
    return millis(exponential(this.#random, MILLIS_PER_SECOND / perSecond))
  }
}

const newLimitedServer = (clock: VirtualClock, id: string): LimitedServer => new LimitedServer(clock, id)

/**
 * Instances that keep the limits of one service's endpoints together, over links in memory and in virtual time.
 *
 * @example
 * const harness = new LimitHarness({ instances: 6, endpoints: 2, requestsPerSecond: 20, seed: 1 })
 * await harness.start(seconds(3))
 * harness.servers[0].name(1)
 * await harness.clock.advance(seconds(10))
 */
export class LimitHarness<Server extends HarnessServer = LimitedServer> {
  readonly clock = new VirtualClock()
  readonly network = new MemoryNetwork(this.clock)
  readonly servers: readonly Server[]
  readonly instances: LimitInstance[] = []
  readonly #options: LimitHarnessOptions
  #incarnations = 0

  constructor (options: LimitHarnessOptions, newServer: (clock: VirtualClock, id: string) => Server = newLimitedServer as never) {
    this.#options = options
    this.servers = Array.from({ length: options.endpoints }, (_none, at) => newServer(this.clock, `e${at}`))
  }

  /** Starts all instances and, once their links are established, their callers. */
  async start (settle = seconds(6)): Promise<void> {
    const { instances } = this.#options
    for (let at = 0; at < instances; at++) {
      this.#add(at)
      await this.clock.advance(millis(300 / instances))
    }
    await this.clock.advance(settle)
    const { hasCallers = () => true } = this.#options
    this.instances.forEach((instance, at) => { if (hasCallers(at)) void this.#callers(instance) })
  }

  /** Starts an instance that callers use at once; in place of an earlier one, without any state of it. */
  restart (at: number): LimitInstance {
    const instance = this.#add(at)
    void this.#callers(instance)
    return instance
  }

  kill (at: number): void {
    const instance = this.instances[at]!
    instance.gate.kill()
    this.network.kill(instance.identity)
  }

  /** Stops an instance for a time, as a machine that is frozen. */
  async freeze (at: number, span: Millis): Promise<void> {
    const instance = this.instances[at]!
    instance.gate.pause()
    this.setPartition([instance], this.instances, true)
    await this.clock.sleep(span)
    this.setPartition([instance], this.instances, false)
    instance.gate.resume()
  }

  /** Cuts all links between two groups, or heals them. */
  setPartition (left: readonly LimitInstance[], right: readonly LimitInstance[], isCut: boolean): void {
    for (const { identity } of left) {
      for (const { identity: other } of right) {
        if (isCut) this.network.partition(identity, other)
        else this.network.heal(identity, other)
      }
    }
  }

  get refused (): number {
    return this.instances.reduce((sum, { refused }) => sum + refused, 0)
  }

  get served (): number {
    return this.instances.reduce((sum, { served }) => sum + served, 0)
  }

  /** Whether no instance knows a limit of any endpoint. */
  get isUnlimited (): boolean {
    return this.instances.filter(({ gate }) => !gate.isDead)
      .every(({ directory }) => directory.usable(LIMITED_SERVICE).every(({ limit }) => limit?.perSecond === undefined))
  }

  /** Most bytes that an instance has sent to others about endpoints and tokens. */
  get controlBytes (): number {
    return Math.max(...this.instances.map(({ peers }) => peers.traffic()
      .filter(({ topic }) => topic === 'quota' || topic === 'endpoint').reduce((sum, { sentBytes }) => sum + sentBytes, 0)))
  }

  #add (at: number): LimitInstance {
    const { seed, policy = 'shared' } = this.#options
    const identity: PeerIdentity = {
      id: brand<InstanceId>(`i${at}`),
      incarnation: brand<Incarnation>(`i${at}@${String(++this.#incarnations).padStart(8, '0')}`),
      domain: brand<DomainId>(`hall-${at % DOMAINS}`),
      address: { ip: '10.0.0.1', port: FIRST_PORT + at }
    }
    const listed = (): readonly ListedPeer[] => this.instances.map(({ identity: { id, address } }) => ({ id, address }))
    const instance = new LimitInstance(this.network, identity, hash32(`${seed} ${this.#incarnations}`), policy, listed)
    this.instances[at] = instance
    instance.directory.replaced(this.servers.map(({ id, slots }) => endpointRow(id, { slots })), millis(0))
    void instance.peers.start()
    return instance
  }

  async #callers (instance: LimitInstance): Promise<void> {
    const { requestsPerSecond, instances } = this.#options
    while (!instance.gate.isDead) {
      await instance.clock.sleep(instance.nextArrival(requestsPerSecond / instances))
      void this.#request(instance)
    }
  }

  async #request (instance: LimitInstance): Promise<void> {
    const endpoint = await instance.place()
    if (instance.gate.isDead) return
    if (endpoint === undefined) {
      instance.refused++
      return
    }
    instance.served++
    await this.serverOf(endpoint.id).serve(instance, endpoint)
  }

  serverOf (id: EndpointId): Server {
    return this.servers.find((server) => server.id === id)!
  }
}

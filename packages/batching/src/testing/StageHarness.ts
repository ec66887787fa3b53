import { brand, bytes, millis, seconds, SeededRandom, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, Incarnation, InstanceId, Millis, ServiceId } from '@papayahill/common'
import { EndpointDirectory } from '@papayahill/directory'
import type { BatchProfile, Endpoint, StageNode } from '@papayahill/directory'
import { UNLIMITED } from '@papayahill/limits'
import { MemoryNetwork, PeerCore } from '@papayahill/peers'
import type { ListedPeer, PeerIdentity } from '@papayahill/peers'
import { EndpointReach } from '@papayahill/reach'
import type { ProbeResult } from '@papayahill/reach'
import { Result } from 'true-myth'
import { BacklogTracker } from '../BacklogTracker.js'
import { allGroups, groupsIn } from '../endpointGroups.js'
import { BatchCoordinator } from '../BatchCoordinator.js'
import { CoordinatorRoster } from '../CoordinatorRoster.js'
import { CoordinatorWaits, orderWaitOf } from '../CoordinatorWaits.js'
import { StageGraphRun } from '../StageGraphRun.js'
import type { StageFailure, StageWork } from '../StageGraphRun.js'
import { StageOrderRouter } from '../StageOrderRouter.js'
import type { BatchAnswer, BatchCaller, CallOutcome, Piece, PieceFault, StageResult } from '../types.js'
import { stageRecord, TEST_PROFILE } from './stageEndpoint.js'

/** Network delay in each direction. */
const ONE_WAY_DELAY = millis(1)
const CONNECT_TIMEOUT = millis(500)
/** Time without an answer after which a call is reported as silent. */
const SILENCE = millis(1000)

interface HeldResult {
  /** The request for which it was made. */
  readonly request: string
  readonly endpoint: string
  readonly size: number
  readonly expiresAt: Millis
}

interface FakeCall {
  readonly endpoint: string
  /** The instance that sent it. */
  readonly instance: InstanceId
  readonly pieces: number
}

/** Stage endpoints in virtual time: they run one call at a time, and have limited memory and expiring inputs like the platform's. */
export class FakeStageEndpoints {
  readonly calls: FakeCall[] = []
  /** Sizes of the calls that deadly pieces ended. */
  readonly lostCalls: number[] = []
  readonly faults: Record<PieceFault, number> = { late: 0, gone: 0, room: 0, failed: 0, unplaced: 0, moved: 0, lost: 0 }
  /** Pieces that fail once, as `request stage index`. */
  readonly failing = new Set<string>()
  /** Requests of which any piece ends the call that it is in. */
  readonly deadly = new Set<string>()
  /** Pieces that were given results of another request as inputs. */
  foreignInputs = 0
  /** Time until an endpoint has freed released results. */
  freeDelay = ONE_WAY_DELAY
  /** Factor by which an endpoint is slower than its profile. */
  readonly slowdown = new Map<string, number>()
  readonly #clock: VirtualClock
  readonly #profile: BatchProfile
  readonly #results = new Map<string, HeldResult>()
  readonly #lastCalls = new Map<string, Promise<unknown>>()
  readonly #ended = new Set<Incarnation>()
  /** Instances of which no byte reaches an endpoint, and none comes back. */
  readonly #cut = new Set<InstanceId>()
  #count = 0

  constructor (clock: VirtualClock, profile: BatchProfile) {
    this.#clock = clock
    this.#profile = profile
  }

  /** The request for which a result was made; undefined once it has been freed. */
  requestOf (handle: string): string | undefined {
    return this.#results.get(handle)?.request
  }

  /** Number of results that were not freed. */
  get heldResults (): number {
    return this.#results.size
  }

  /** The calls of one process; once it has ended, it sends none. */
  callerOf ({ id, incarnation }: PeerIdentity, reach: EndpointReach): BatchCaller {
    const never = new Promise<never>(() => {})
    return {
      call: (endpoint, pieces, timeout) => this.#ended.has(incarnation) ? never : this.#callOrLose(endpoint, pieces, id, timeout, reach),
      free: (endpoint, handles) => this.#ended.has(incarnation) || this.#cut.has(id) ? never : this.#free(endpoint, handles)
    }
  }

  /** An instance loses its paths to all endpoints: calls in progress and new ones get no answer. */
  cut (id: InstanceId): void {
    this.#cut.add(id)
  }

  /** The instance's paths are back. */
  heal (id: InstanceId): void {
    this.#cut.delete(id)
  }

  /** A process has ended: it sends no further calls. */
  endCaller (incarnation: Incarnation): void {
    this.#ended.add(incarnation)
  }

  /** A cut instance's connections hang. */
  async probe (instance: InstanceId): Promise<ProbeResult> {
    const isCut = this.#cut.has(instance)
    await this.#clock.sleep(isCut ? CONNECT_TIMEOUT : ONE_WAY_DELAY)
    return isCut ? 'unknown' : 'listening'
  }

  async #callOrLose (
    endpoint: Endpoint, pieces: readonly Piece[], instance: InstanceId, timeout: Millis, reach: EndpointReach
  ): Promise<BatchAnswer> {
    const silence = this.#clock.every(SILENCE, () => reach.noteSilence(endpoint))
    const gaveUp = new Promise<BatchAnswer>((resolve) => {
      const giveUp = (isWithdrawn: boolean): void =>
        resolve({ kind: 'lost', detail: 'no answer in time', isConnectionLost: false, isWithdrawn })
      this.#clock.after(timeout, () => { if (this.#cut.has(instance)) giveUp(false) })
      reach.onPathLost((lost) => { if (lost === endpoint) giveUp(true) })
    })
    const answer = await Promise.race([gaveUp, this.#answerTo(endpoint, pieces, instance)])
    silence.cancel()
    if (answer.kind === 'answered') reach.noteContact(endpoint)
    return answer
  }

  async #answerTo (endpoint: Endpoint, pieces: readonly Piece[], instance: InstanceId): Promise<BatchAnswer> {
    if (this.#cut.has(instance)) return await new Promise<never>(() => {})
    const answer = await this.#call(endpoint, pieces, instance)
    return this.#cut.has(instance) ? await new Promise<never>(() => {}) : answer
  }

  async #call (endpoint: Endpoint, pieces: readonly Piece[], instance: InstanceId): Promise<BatchAnswer> {
    await this.#clock.sleep(ONE_WAY_DELAY)
    this.calls.push({ endpoint: endpoint.id, instance, pieces: pieces.length })
    if (pieces.some(({ request }) => this.deadly.has(request))) {
      this.lostCalls.push(pieces.length)
      return { kind: 'lost', detail: 'the endpoint ended', isConnectionLost: true }
    }
    const previousCall = this.#lastCalls.get(endpoint.id)
    const work = this.#work(endpoint.id, pieces, previousCall)
    this.#lastCalls.set(endpoint.id, work)
    const outcomes = await work
    await this.#clock.sleep(ONE_WAY_DELAY)
    return { kind: 'answered', outcomes }
  }

  async #free (_endpoint: Endpoint, handles: readonly string[]): Promise<void> {
    await this.#clock.sleep(this.freeDelay)
    for (const handle of handles) this.#results.delete(handle)
  }

  async #work (endpoint: string, pieces: readonly Piece[], previousCall: Promise<unknown> | undefined): Promise<readonly CallOutcome[]> {
    await previousCall
    const outcomes = pieces.map((piece) => this.#run(endpoint, piece))
    for (const outcome of outcomes) if ('fault' in outcome) this.faults[outcome.fault]++
    const slowdown = this.slowdown.get(endpoint) ?? 1
    await this.#clock.sleep(millis((this.#profile.callTime + pieces.length * this.#profile.pieceTime) * slowdown))
    return outcomes
  }

  #run (endpoint: string, piece: Piece): CallOutcome {
    const now = this.#clock.now()
    if (piece.inputs.some((handle) => (this.requestOf(handle) ?? piece.request) !== piece.request)) this.foreignInputs++
    if (piece.inputs.some((handle) => (this.#results.get(handle)?.expiresAt ?? 0) <= now)) return { fault: 'gone' }
    if (this.failing.delete(`${piece.request} ${piece.stage} ${piece.index}`)) return { fault: 'failed' }
    const held = [...this.#results.values()].filter(({ endpoint: holder, expiresAt }) => holder === endpoint && expiresAt > now)
    if (held.reduce((sum, { size }) => sum + size, 0) + piece.resultBytes > this.#profile.resultCapacity) return { fault: 'room' }
    const handle = `${endpoint}/${++this.#count}`
    this.#results.set(handle, { request: piece.request, endpoint, size: piece.resultBytes, expiresAt: millis(now + seconds(5)) })
    return { handle }
  }
}

interface StageInstance {
  readonly identity: PeerIdentity
  readonly peers: PeerCore
  readonly coordinator: BatchCoordinator
  readonly roster: CoordinatorRoster
  readonly router: StageOrderRouter
  readonly context: ConstructorParameters<typeof StageGraphRun>[0]
}

export interface StageHarnessOptions {
  readonly profile?: BatchProfile
  /** Whether the instances cannot find each other. */
  readonly isIsolated?: boolean
}

/** Runs stage graphs on several instances over the same endpoints, in virtual time. */
export class StageHarness {
  readonly clock = new VirtualClock()
  readonly network = new MemoryNetwork(this.clock)
  readonly instances: StageInstance[] = []
  readonly endpoints: FakeStageEndpoints
  readonly #listed: ReadonlyArray<readonly [service: string, id: string]>
  readonly #profile: BatchProfile
  readonly #isIsolated: boolean
  #incarnationCount = 1

  constructor (
    instances: number, endpoints: ReadonlyArray<readonly [service: string, id: string]>,
    { profile = TEST_PROFILE, isIsolated = false }: StageHarnessOptions = {}
  ) {
    this.#listed = endpoints
    this.#profile = profile
    this.#isIsolated = isIsolated
    this.endpoints = new FakeStageEndpoints(this.clock, profile)
    for (let at = 0; at < instances; at++) this.instances.push(this.#build(at, 1, instances))
  }

  async start (): Promise<void> {
    for (const { peers } of this.instances) void peers.start()
    await this.clock.advance(seconds(3))
  }

  /** Cuts an instance from all endpoints, but not from the other instances. */
  cut (at: number): void {
    this.endpoints.cut(this.instances[at]!.identity.id)
  }

  heal (at: number): void {
    this.endpoints.heal(this.instances[at]!.identity.id)
  }

  /** An instance's event loop is late: it reads what other instances send that much later. */
  slowDown (at: number, readDelay: Millis): void {
    this.network.slowDown(this.instances[at]!.identity, readDelay)
  }

  /** Each message takes an instance processor time, so that it falls behind when it gets many. */
  limitProcessor (at: number, messageCost: Millis): void {
    this.network.limitProcessor(this.instances[at]!.identity, messageCost)
  }

  kill (at: number): void {
    this.network.kill(this.instances[at]!.identity)
    this.endpoints.endCaller(this.instances[at]!.identity.incarnation)
    void this.instances[at]!.peers.close()
  }

  /** Restarts an instance, without any state of its previous incarnation. */
  async restart (at: number, settle: Millis): Promise<void> {
    this.kill(at)
    this.instances[at] = this.#build(at, ++this.#incarnationCount, this.instances.length)
    void this.instances[at].peers.start()
    await this.clock.advance(settle)
  }

  run (at: number, work: StageWork): Promise<Result<readonly StageResult[], StageFailure>> {
    return new StageGraphRun(this.instances[at]!.context, work).run()
  }

  /** Runs a request's stages and releases the last results at once; returns the time taken, or undefined if it failed. */
  async serve (at: number, work: StageWork): Promise<Millis | undefined> {
    const startedAt = this.clock.now()
    const run = new StageGraphRun(this.instances[at]!.context, work)
    const results = await run.run()
    run.release()
    return results.isOk ? millis(this.clock.now() - startedAt) : undefined
  }

  #build (at: number, incarnation: number, instances: number): StageInstance {
    const { clock } = this
    const identityOf = (index: number, incarnationNumber = 1): PeerIdentity => ({
      id: brand<InstanceId>(`i${index}`),
      incarnation: brand<Incarnation>(`i${index}#${incarnationNumber}`),
      domain: brand<DomainId>('hall-1'),
      address: { ip: '127.0.0.1', port: 7000 + index }
    })
    const identity = identityOf(at, incarnation)
    const listed: readonly ListedPeer[] = Array.from({ length: instances }, (_none, index) => identityOf(index))
    const visible = this.#isIsolated ? [] : listed
    const peers = new PeerCore({
      self: identity.id,
      incarnation: identity.incarnation,
      domain: identity.domain,
      clock,
      random: new SeededRandom(at + 100 * incarnation),
      transport: this.network.transport(identity),
      list: { list: () => Promise.resolve(Result.ok({ instances: visible }) as never) },
      log: SILENT_LOG
    })
    const directory = new EndpointDirectory({ clock, log: SILENT_LOG, isDomainOut: () => false })
    directory.changed(this.#listed.map(([service, id]) => ({
      key: id, value: { record: stageRecord(id, service) }, revision: 1
    })), millis(0))
    const reach = new EndpointReach({
      clock, log: SILENT_LOG, directory, peers, probe: () => this.endpoints.probe(identity.id), hasIdle: () => false
    })
    const profileOf = () => this.#profile
    const roster = new CoordinatorRoster({ clock, peers, reach, groups: () => allGroups(directory, profileOf) })
    const isOwn = (group: string): boolean => roster.coordinatorOf(group) === identity.id
    const coordinator = new BatchCoordinator({
      clock,
      log: SILENT_LOG,
      caller: this.endpoints.callerOf(identity, reach),
      directory,
      limits: UNLIMITED,
      profileOf,
      isOwn,
      mustLeave: (group) => roster.mustLeave(group),
      reachesEndpoint: (endpoint) => reach.reachesEndpoint(endpoint)
    })
    reach.onChange(() => coordinator.pumpAll())
    clock.every(millis(100), () => coordinator.pumpAll())
    const groups = groupsIn(directory)
    const { network } = this
    const loopDelay = { get current () { return network.readDelayOf(identity) } }
    const waits = new CoordinatorWaits(clock)
    const lookup = { self: identity.id, groups, roster, waits, loopDelay }
    const backlogs = new BacklogTracker(clock, (endpoint) => orderWaitOf(lookup, endpoint))
    const router = new StageOrderRouter({
      clock,
      log: SILENT_LOG,
      peers,
      coordinator,
      roster,
      groups,
      backlogs,
      waits,
      loopDelay
    })
    const context = { clock, log: SILENT_LOG, directory, backlogs, router, groups, profileOf, takeRetry: () => true }
    return { identity, peers, coordinator, roster, router, context }
  }
}

/** A chain of stages, each with its own service. */
export const chainOf = (resultBytes: number, ...services: readonly string[]): readonly StageNode[] => services.map((service, index) => ({
  index, service: brand<ServiceId>(service), after: index === 0 ? [] : [index - 1], resultBytes: bytes(resultBytes)
}))

/** The stages of a request that arrives now. */
export const workOf = (
  harness: StageHarness, request: string, stages: readonly StageNode[], counts: readonly number[], target: Millis, timeout: Millis
): StageWork => ({
  request,
  stages,
  counts,
  key: 'k',
  priority: 1,
  due: millis(harness.clock.now() + target),
  deadline: millis(harness.clock.now() + timeout),
  answerTime: millis(0),
  engineDomain: undefined,
  isAllowedIn: () => true
})

export const endpointsOf = (service: string, count: number): ReadonlyArray<readonly [service: string, id: string]> =>
  Array.from({ length: count }, (_none, at) => [service, brand<EndpointId>(`${service}-${at}`)] as const)

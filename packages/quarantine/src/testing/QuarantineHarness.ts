import {
  brand, exponential, firstByRendezvous, GatedClock, hash32, InstanceGate, millis, MILLIS_PER_SECOND, pickOne, seconds, SeededRandom,
  SILENT_LOG, VirtualClock
} from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId, Millis } from '@papayahill/common'
import { MemoryNetwork, PeerCore } from '@papayahill/peers'
import type { ListedPeer, PeerIdentity } from '@papayahill/peers'
import { Result } from 'true-myth'
import { partIdOf, wholeIdOf } from '../partIdOf.js'
import { QuarantineManager } from '../QuarantineManager.js'
import type { PartId, RequestParts } from '../types.js'
import { CountingPolicy, FORGETFUL } from './CrashPolicy.js'
import type { CrashPolicy, PolicyCheck } from './CrashPolicy.js'
import { SimulatedEngine } from './SimulatedEngine.js'
import type { EngineCrash } from './SimulatedEngine.js'

const DOMAINS = 6
const FIRST_PORT = 7000
/** Time from the loss of a connection to the answer of a probe. */
const PROBE_TIME = millis(3)
/** Time for which an instance counts as disturbed after a fault of its own. */
const CONTACT = seconds(3)
/** Endpoints that one request may crash. */
const MAX_CRASHES = 2
/** Subjects that are new in each second, and classes. */
const SUBJECTS = 20
const CLASSES = 3
/** One in so many requests is always the same one. */
const HOT_EVERY = 10
/** Pause after which a caller repeats a request that was lost or refused. */
const REPEAT_AFTER = millis(250)

/** What instances remember: together, each by itself, nothing, or counts of whole prompts or first parts. */
export type QuarantinePolicy = 'shared' | 'alone' | 'none' | 'whole-prompt' | 'first-part'

/**
 * What is deadly: parts of requests no two of which are alike, or whole requests that come again and whose parts are those of
 * sound ones; the latter crash engines before their answers begin, or midway.
 */
export type DeadlyKind = 'part' | 'request' | 'request-midway'

export interface QuarantineHarnessOptions {
  readonly instances: number
  readonly engines: number
  readonly requestsPerSecond: number
  readonly kind?: DeadlyKind
  /** Share of the requests that are deadly, and the number of deadly parts or requests. */
  readonly deadlyShare: number
  readonly deadlyParts: number
  readonly seed: number
  readonly policy?: QuarantinePolicy
}

/** One request of a caller, as the harness counts it. */
export interface SentRequest {
  readonly at: Millis
  readonly deadly: PartId | undefined
  isRefused: boolean
  /** Whether its first attempt began. */
  hasBegun: boolean
}

/** A request that reached an engine. */
export interface Arrival {
  readonly at: Millis
  readonly deadly: PartId | undefined
  /** Whether its instance was in touch with the others. */
  readonly isInTouch: boolean
}

interface Attempt {
  readonly request: SentRequest
  readonly parts: RequestParts
  readonly whole: PartId
  readonly check: PolicyCheck
  crashes: number
}

interface OpenCall {
  readonly check: PolicyCheck
  readonly engine: SimulatedEngine
  readonly withdraw: () => void
  isBegun: boolean
}

const shortOf = (policy: CrashPolicy | QuarantineManager): CrashPolicy => {
  if (!(policy instanceof QuarantineManager)) return policy
  return {
    check: (parts, whole) => {
      const check = policy.check(parts, () => whole)
      return {
        noteLost: (incarnation, isBegun) => {
          const midway = isBegun ? check.takeMidwayLoss() : undefined
          if (midway !== undefined) policy.noteLostWhole(midway, { incarnation, suspects: [midway] })
          if (isBegun) return
          policy.noteLost(incarnation, parts)
          policy.noteLostWhole(whole, { incarnation, suspects: check.suspects })
        },
        crashesBefore: (incarnation) => policy.crashesWith(incarnation, whole),
        answerEnded: (scope) => policy.noteEnded(scope, whole),
        isRefused: (scope) => check.find(scope) !== undefined,
        noteSent: () => check.noteSent(),
        mustWithdraw: (scope) => check.mustWithdraw(scope)
      }
    },
    suspectIn: (scope, parts) => policy.suspectIn(scope, parts),
    noteBegun: (scope, parts) => policy.noteBegun(scope, parts),
    confirmCrash: (incarnation) => policy.confirmCrash(incarnation),
    onQuarantine: (listener) => policy.onQuarantine(listener)
  }
}

/** One instance: its links, and what it remembers of crashes. */
export class QuarantineInstance {
  readonly identity: PeerIdentity
  readonly peers: PeerCore
  readonly gate = new InstanceGate()
  readonly clock: GatedClock
  readonly random: SeededRandom
  readonly manager: QuarantineManager | undefined
  readonly policy: CrashPolicy
  readonly open = new Set<OpenCall>()
  /** Time until which a fault of its own excuses it. */
  disturbedUntil: Millis
  /** When it first had a quarantine. */
  quarantinedAt: Millis | undefined

  constructor (harness: QuarantineHarness, identity: PeerIdentity, seed: number, listed: () => readonly ListedPeer[]) {
    const { network } = harness
    this.identity = identity
    this.clock = new GatedClock(network.clock, this.gate)
    this.random = new SeededRandom(seed)
    this.disturbedUntil = millis(network.clock.now() + CONTACT)
    this.peers = new PeerCore({
      self: identity.id,
      incarnation: identity.incarnation,
      domain: identity.domain,
      clock: this.clock,
      random: this.random.fork(),
      transport: network.transport(identity),
      list: { list: () => Promise.resolve(Result.ok({ instances: listed() })) }
    })
    this.manager = this.#managerFor(harness.policy)
    this.policy = shortOf(this.manager ?? harness.baseline)
    this.policy.onQuarantine(() => this.#quarantineBegan())
  }

  get isInTouch (): boolean {
    return !this.gate.isDead && this.clock.now() >= this.disturbedUntil
  }

  #managerFor (policy: QuarantinePolicy): QuarantineManager | undefined {
    if (policy !== 'shared' && policy !== 'alone') return undefined
    const deaf = { self: this.identity.id, publish: () => {}, onEntry: () => {} }
    const { clock, peers } = this
    return new QuarantineManager({
      clock,
      random: this.random.fork(),
      log: SILENT_LOG,
      peers: policy === 'shared' ? peers : deaf,
      instances: () => [this.identity.id, ...peers.members().map(({ id }) => id)]
    })
  }

  #quarantineBegan (): void {
    this.quarantinedAt ??= this.clock.now()
    for (const call of this.open) if (!call.isBegun && call.check.mustWithdraw(call.engine.scope)) call.withdraw()
  }
}

/**
 * Instances before engines that crash on deadly parts or requests, over links in memory and in virtual time.
 *
 * @example
 * const harness = new QuarantineHarness({ instances: 6, engines: 9, requestsPerSecond: 60, deadlyShare: 0.05, deadlyParts: 1, seed: 1 })
 * await harness.start()
 */
export class QuarantineHarness {
  readonly clock = new VirtualClock()
  readonly network = new MemoryNetwork(this.clock)
  readonly crashes: EngineCrash[] = []
  readonly engines: SimulatedEngine[] = []
  readonly instances: QuarantineInstance[] = []
  readonly sent: SentRequest[] = []
  readonly arrivals: Arrival[] = []
  readonly deadly: readonly PartId[]
  readonly baseline: CrashPolicy
  readonly policy: QuarantinePolicy
  readonly #options: QuarantineHarnessOptions
  readonly #random: SeededRandom
  /** Whether callers send deadly requests. */
  isTainted = false
  #incarnations = 0
  #requests = 0

  constructor (options: QuarantineHarnessOptions) {
    const { seed, policy = 'shared', deadlyParts, engines } = options
    this.#options = options
    this.#random = new SeededRandom(seed)
    this.policy = policy
    const idOf = this.#isPartDeadly ? partIdOf : wholeIdOf
    this.deadly = Array.from({ length: deadlyParts }, (_each, at) => idOf(`deadly-${at}`))
    this.baseline = BASELINES[policy]()
    for (let at = 0; at < engines; at++) this.engines.push(this.#newEngine(`e${at}`, 'v1'))
  }

  /** Starts all instances and, once their links are established, their callers. */
  async start (settle = seconds(6)): Promise<void> {
    const { instances } = this.#options
    for (let at = 0; at < instances; at++) {
      this.#add(at)
      await this.clock.advance(millis(300 / instances))
    }
    await this.clock.advance(settle)
    for (const instance of this.instances) void this.#callers(instance)
  }

  /** Adds an engine of another version. */
  addEngine (version: string): SimulatedEngine {
    const engine = this.#newEngine(`${version}-${this.engines.length}`, version)
    this.engines.push(engine)
    return engine
  }

  kill (at: number): void {
    const instance = this.instances[at]!
    instance.gate.kill()
    this.network.kill(instance.identity)
  }

  /** Starts an instance that callers use at once; in place of an earlier one, without any state of it. */
  restart (at: number): void {
    void this.#callers(this.#add(at))
  }

  /** Stops an instance for a time, as a machine that is frozen. */
  async freeze (at: number, span: Millis): Promise<void> {
    const instance = this.instances[at]!
    instance.gate.pause()
    instance.disturbedUntil = millis(Infinity)
    for (const { identity } of this.instances) this.network.partition(instance.identity, identity)
    await this.clock.sleep(span)
    for (const { identity } of this.instances) this.network.heal(instance.identity, identity)
    instance.gate.resume()
    instance.disturbedUntil = millis(this.clock.now() + CONTACT)
  }

  /** Cuts all links between two groups, or heals them. */
  setPartition (left: readonly QuarantineInstance[], right: readonly QuarantineInstance[], isCut: boolean): void {
    for (const { identity } of left) {
      for (const { identity: other } of right) {
        if (isCut) this.network.partition(identity, other)
        else this.network.heal(identity, other)
      }
    }
    const excusedUntil = isCut ? Infinity : this.clock.now() + CONTACT
    for (const instance of [...left, ...right]) instance.disturbedUntil = millis(excusedUntil)
  }

  /** Bytes that an instance has sent to others of all that instances publish, on average. */
  get publishedBytes (): number {
    const sent = this.instances.map(({ peers }) =>
      peers.traffic().filter(({ topic }) => topic === 'gossip').reduce((sum, { sentBytes }) => sum + sentBytes, 0))
    return sent.reduce((sum, bytes) => sum + bytes, 0) / sent.length
  }

  get #isPartDeadly (): boolean {
    return (this.#options.kind ?? 'part') === 'part'
  }

  #newEngine (name: string, version: string): SimulatedEngine {
    const deadly = new Set(this.deadly)
    const { clock, crashes } = this
    const crashesMidway = this.#options.kind === 'request-midway'
    return new SimulatedEngine({ clock, name, version, isDeadly: (part) => deadly.has(part), crashesMidway, crashes })
  }

  #add (at: number): QuarantineInstance {
    const identity: PeerIdentity = {
      id: brand<InstanceId>(`i${at}`),
      incarnation: brand<Incarnation>(`i${at}@${String(++this.#incarnations).padStart(8, '0')}`),
      domain: brand<DomainId>(`hall-${at % DOMAINS}`),
      address: { ip: '10.0.0.1', port: FIRST_PORT + at }
    }
    const listed = (): readonly ListedPeer[] => this.instances.map(({ identity: { id, address } }) => ({ id, address }))
    const instance = new QuarantineInstance(this, identity, hash32(`${this.#options.seed} ${this.#incarnations}`), listed)
    this.instances[at] = instance
    void instance.peers.start()
    return instance
  }

  async #callers (instance: QuarantineInstance): Promise<void> {
    const { requestsPerSecond, instances, deadlyShare } = this.#options
    while (!instance.gate.isDead) {
      await instance.clock.sleep(millis(exponential(instance.random, MILLIS_PER_SECOND * instances / requestsPerSecond)))
      const isDeadly = this.isTainted && instance.random.next() < deadlyShare
      this.#send(instance, isDeadly ? pickOne(this.#random, this.deadly) : undefined, true)
    }
  }

  #partsOf (deadly: PartId | undefined): RequestParts {
    const first = partIdOf(`class-${this.#requests % CLASSES}`)
    const subject = partIdOf(`subject-${Math.floor(this.clock.now() / MILLIS_PER_SECOND)}-${this.#random.below(SUBJECTS)}`)
    return deadly === undefined || !this.#isPartDeadly ? [first, subject] : [first, subject, deadly]
  }

  /** Deadly requests come again; of the others, some are always the same and most come once. */
  #wholeOf (deadly: PartId | undefined): PartId {
    if (deadly !== undefined && !this.#isPartDeadly) return deadly
    const isHot = deadly === undefined && this.#requests % HOT_EVERY === 0
    return wholeIdOf(isHot ? 'hot' : `request-${this.#requests}`)
  }

  #send (instance: QuarantineInstance, deadly: PartId | undefined, canRepeat: boolean): void {
    this.#requests++
    const request: SentRequest = { at: this.clock.now(), deadly, isRefused: false, hasBegun: false }
    this.sent.push(request)
    const parts = this.#partsOf(deadly)
    const whole = this.#wholeOf(deadly)
    const attempt = { request, parts, whole, check: instance.policy.check(parts, whole), crashes: 0 }
    this.#place(instance, attempt, () => {
      const other = pickOne(this.#random, this.instances.filter(({ gate }) => !gate.isDead))
      if (canRepeat && other !== undefined) other.clock.after(REPEAT_AFTER, () => this.#send(other, deadly, false))
    })
  }

  /** Sends the request to an engine, and once more if it is lost. */
  #place (instance: QuarantineInstance, attempt: Attempt, onFailed: () => void): void {
    const { policy } = instance
    const { check, parts, request } = attempt
    const allowed = this.engines.filter(({ isUp, scope }) => isUp && !check.isRefused(scope))
    const [any] = allowed
    if (any === undefined) {
      request.isRefused ||= this.engines.some(({ isUp }) => isUp)
      return onFailed()
    }
    const suspect = policy.suspectIn(any.scope, [...parts, attempt.whole])
    const engine = suspect === undefined
      ? pickOne(instance.random, allowed)!
      : firstByRendezvous(suspect, allowed, ({ incarnation }) => incarnation.endpoint)!
    this.arrivals.push({ at: this.clock.now(), deadly: request.deadly, isInTouch: instance.isInTouch })
    check.noteSent()
    this.#serve(instance, engine, attempt, onFailed)
  }

  #serve (instance: QuarantineInstance, engine: SimulatedEngine, attempt: Attempt, onFailed: () => void): void {
    const { gate, policy, open } = instance
    const { parts, check, request } = attempt
    const { incarnation, scope } = engine
    const end = (): void => { open.delete(call) }
    const withdraw = engine.serve({
      parts,
      whole: attempt.whole,
      size: instance.random.next(),
      onBegun: () => gate.run(() => {
        call.isBegun = true
        request.hasBegun ||= attempt.crashes === 0
        policy.noteBegun(scope, parts)
      }),
      onLost: (isBegun) => gate.run(() => {
        end()
        attempt.crashes++
        check.noteLost(incarnation, isBegun)
        instance.clock.after(PROBE_TIME, () => {
          policy.confirmCrash(incarnation.incarnation)
          const crashes = Math.max(attempt.crashes, check.crashesBefore(incarnation) + 1)
          if (!isBegun && crashes < MAX_CRASHES) this.#place(instance, attempt, onFailed)
          else if (!isBegun || request.deadly !== undefined) onFailed()
        })
      }),
      onDone: () => gate.run(() => {
        end()
        check.answerEnded(scope)
      })
    })
    const call: OpenCall = {
      check,
      engine,
      isBegun: false,
      withdraw: () => {
        withdraw()
        end()
      }
    }
    open.add(call)
  }
}

/** What stands in for the quarantines under each policy. */
const BASELINES: Readonly<Record<QuarantinePolicy, () => CrashPolicy>> = {
  shared: () => FORGETFUL,
  alone: () => FORGETFUL,
  none: () => FORGETFUL,
  'whole-prompt': () => new CountingPolicy((parts) => parts.join(' ')),
  'first-part': () => new CountingPolicy(([first]) => String(first))
}

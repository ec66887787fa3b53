import { millis } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, Millis, ServiceId, Timer } from '@papayahill/common'
import type { Endpoint, EndpointDirectory } from '@papayahill/directory'
import type { PeerMember, Peers } from '@papayahill/peers'
import {
  HEAL_GRACE, JUST_NOW, MAX_OPEN_PROBES, MAX_PROBED_PER_SERVICE, MAX_SOUND_SILENCE, MIN_PROBE_SPACING, MIN_SILENCE_SPACING,
  PROBE_PERIOD, PROBED_AT_LOSS, PROBED_LOST, RECENT_CONTACT
} from './constants.js'
import { REACH_EVENTS } from './events.js'
import { HeldLosses } from './HeldLosses.js'
import { PathProber } from './PathProber.js'
import { PathTable } from './PathTable.js'
import type { Path } from './PathTable.js'
import { PeerReach } from './PeerReach.js'
import type { LossJudge, PathEvidence, ProbeResult, Reach } from './types.js'

export interface EndpointReachOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly directory: Pick<EndpointDirectory, 'services' | 'usable' | 'onGone'>
  readonly peers: Pick<Peers, 'self' | 'members' | 'publish' | 'entries' | 'onEntry'>
  /** Opens a connection to the endpoint and closes it at once. */
  readonly probe: (endpoint: Endpoint) => Promise<ProbeResult>
  /** Whether a connection to the endpoint is open and carries no request. */
  readonly hasIdle: (endpoint: Endpoint) => boolean
}

/** Endpoints of all services are being probed, since none has been in contact since the first doubt. */
interface Suspicion {
  readonly since: Millis
  readonly pending: Set<Path>
}

type ReachListener = (service: ServiceId, isReached: boolean) => void

/**
 * Tells "this endpoint is down" from "this instance reaches no endpoint". A path is lost when new connections fail. A service is
 * not reached once the paths to all of its endpoints are lost. This instance is cut off once several endpoints of all services
 * accept none of its connections, and none has accepted one since the first sign of it; a single connection that opens shows
 * the contrary.
 *
 * @example
 * reach.noteSilence(endpoint)
 * if (!reach.reaches(service)) handOver(request)
 */
export class EndpointReach implements Reach, PathEvidence, LossJudge {
  readonly #options: EndpointReachOptions
  readonly #paths = new PathTable()
  readonly #prober: PathProber
  readonly #peerReach: PeerReach
  readonly #held: HeldLosses
  readonly #listeners: ReachListener[] = []
  readonly #lostListeners: Array<(endpoint: Endpoint) => void> = []
  /** Paths with signs of trouble since a connection to any endpoint last opened, and since when. */
  readonly #doubts = new Map<Path, Millis>()
  readonly #lost = new Set<Path>()
  readonly #unreached = new Set<ServiceId>()
  #suspicion: Suspicion | undefined
  /** Since when this instance has reached no endpoint, as it knows now. */
  #cutAt: Millis | undefined
  /** Paths whose probes are awaited after a cut, before services that are still not reached count as down. */
  #recovery: Set<Path> | undefined
  #lastContactAt: Millis = millis(-Infinity)
  /** When the last cut ended. */
  #healedAt: Millis = millis(-Infinity)
  #timer: Timer | undefined
  #version = 0

  constructor (options: EndpointReachOptions) {
    const { clock, directory, peers, probe } = options
    this.#options = options
    this.#prober = new PathProber({ clock, probe, onResult: (path, result, startedAt) => this.#receive(path, result, startedAt) })
    this.#peerReach = new PeerReach({ clock, peers, onChange: () => { this.#version++ } })
    this.#held = new HeldLosses(clock, () => this.#isInDoubt)
    directory.onGone((endpoint) => {
      const path = this.#paths.of(endpoint)
      this.#lost.delete(path)
      this.#doubts.delete(path)
    })
  }

  /** Changes whenever an answer about a service may have changed, here or at a peer. */
  get version (): number {
    return this.#version
  }

  /** Number of services that this instance does not reach. */
  get unreachedCount (): number {
    return this.#unreached.size
  }

  reaches (service: ServiceId): boolean {
    return !this.#unreached.has(service)
  }

  reachesEndpoint (endpoint: Endpoint): boolean {
    const path = this.#paths.of(endpoint)
    const lostAt = path.lostAt ?? (this.reaches(endpoint.service) ? undefined : this.#cutAt)
    return lostAt === undefined || (path.contactAt > lostAt && this.#options.hasIdle(endpoint))
  }

  isReachedBy (instance: InstanceId, service: ServiceId): boolean {
    return instance === this.#options.peers.self ? this.reaches(service) : this.#peerReach.isReachedBy(instance, service)
  }

  peersReaching (service: ServiceId): readonly PeerMember[] {
    return this.#peerReach.peersReaching(service)
  }

  onChange (listener: ReachListener): void {
    this.#listeners.push(listener)
  }

  /** Calls the listener when the path to an endpoint is lost on which no bytes have come since the first sign of it. */
  onPathLost (listener: (endpoint: Endpoint) => void): void {
    this.#lostListeners.push(listener)
  }

  noteContact (endpoint: Endpoint): void {
    const now = this.#options.clock.now()
    const path = this.#paths.of(endpoint)
    path.contactAt = now
    path.silentSince = undefined
    this.#lastContactAt = now
    if (!this.#isCutOrHealing) this.#held.noteBytes(endpoint)
    const isUnreached = path.lostAt !== undefined || !this.reaches(endpoint.service)
    if (!isUnreached) this.#doubts.delete(path)
    else if (now - path.probedAt >= MIN_PROBE_SPACING) this.#prober.probe(path)
  }

  /** A new connection to the endpoint opened at this time and has lasted; one from before the first sign of trouble shows nothing. */
  noteOpened (endpoint: Endpoint, openedAt: Millis): void {
    const path = this.#paths.of(endpoint)
    if (openedAt < this.#troubleSince(path)) return
    const now = this.#options.clock.now()
    path.contactAt = now
    path.openedAt = openedAt
    this.#lastContactAt = now
    for (const [doubted, since] of this.#doubts) if (since <= openedAt) this.#doubts.delete(doubted)
    if (path.isCut || !this.reaches(endpoint.service)) forgetCut(path)
    path.lostAt = undefined
    path.isSilent = false
    this.#lost.delete(path)
    this.#endSuspicion(path)
    this.#endCut(path)
    if (this.#isCutOrHealing) return
    this.#held.tellBefore(openedAt)
    if (this.#held.size > 0) this.#prober.probe(path)
  }

  /** When the first sign of the trouble came that a new connection on this path would end. */
  #troubleSince (path: Path): Millis {
    return millis(Math.max(this.#suspicion?.since ?? -Infinity, this.#cutAt ?? -Infinity, this.#doubts.get(path) ?? -Infinity))
  }

  noteNoContact (endpoint: Endpoint): void {
    this.#doubt(this.#paths.of(endpoint))
  }

  noteSilence (endpoint: Endpoint): void {
    const now = this.#options.clock.now()
    const path = this.#paths.of(endpoint)
    path.silentSince ??= now
    if (path.lostAt !== undefined) this.#tellLost(path)
    if (now - path.contactAt >= RECENT_CONTACT && now - path.openedAt >= MIN_SILENCE_SPACING) this.#doubt(path)
  }

  noteHang (endpoint: Endpoint): void {
    const now = this.#options.clock.now()
    const { silentSince } = this.#paths.of(endpoint)
    this.noteSilence(endpoint)
    const hasFailed = silentSince !== undefined && now - silentSince >= MAX_SOUND_SILENCE
    if (hasFailed && this.#cutAt === undefined) endpoint.noteConnectionFailure(now)
  }

  judgeLoss (endpoint: Endpoint, tell: () => void): void {
    if (this.#isOfLastCut(endpoint)) return
    this.#held.add(endpoint, tell)
    if (this.#cutAt !== undefined || this.#suspicion !== undefined) return
    this.#doubt(this.#paths.of(endpoint))
    const others = this.#allUsable().filter((path) => path.lostAt === undefined && path.endpoint !== endpoint)
    const chosen = byLatestContact(others).slice(0, PROBED_AT_LOSS)
    for (const path of chosen) this.#prober.probe(path)
  }

  judgeWait (endpoint: Endpoint, tell: () => void): void {
    if (this.#options.clock.now() - this.#lastContactAt <= JUST_NOW) tell()
    else this.judgeLoss(endpoint, tell)
  }

  /** Whether it is open if this instance is cut off, or what a cut had to do with. */
  get #isInDoubt (): boolean {
    return this.#suspicion !== undefined || this.#doubts.size > 0 || this.#isCutOrHealing
  }

  get #isCutOrHealing (): boolean {
    return this.#cutAt !== undefined || this.#recovery !== undefined
  }

  /** Whether a call that is lost now was lost by the cut that has just ended. */
  #isOfLastCut (endpoint: Endpoint): boolean {
    return this.#options.clock.now() - this.#healedAt < HEAL_GRACE && this.#paths.of(endpoint).openedAt >= this.#healedAt
  }

  #doubt (path: Path): void {
    if (path.lostAt !== undefined || this.#cutAt !== undefined || path.endpoint.isGone) return
    if (!this.#doubts.has(path)) this.#doubts.set(path, this.#options.clock.now())
    this.#prober.probe(path)
    if (this.#doubts.size > 1) this.#suspect()
  }

  #receive (path: Path, result: ProbeResult, startedAt: Millis): void {
    // A probe that began before the trouble shows nothing about it, and one that failed in a cut nothing once that has ended.
    const isStale = startedAt < (result === 'listening' ? this.#troubleSince(path) : this.#healedAt)
    if (isStale && !path.endpoint.isGone) return this.#prober.probe(path)
    if (!path.endpoint.isGone) this.#judge(path, result, startedAt)
    this.#settle(path)
  }

  #judge (path: Path, result: ProbeResult, startedAt: Millis): void {
    if (result === 'listening') return this.noteOpened(path.endpoint, startedAt)
    if (path.openedAt > startedAt) return
    // An endpoint that is busy may accept no connection in time, but goes on with those that are open.
    if (result === 'unknown' && path.contactAt > startedAt) return this.#dismiss(path)
    this.#markLost(path, result)
  }

  #dismiss (path: Path): void {
    this.#doubts.delete(path)
    this.#endSuspicion(path)
  }

  #markLost (path: Path, result: ProbeResult): void {
    const { clock, log } = this.#options
    const { endpoint } = path
    const now = clock.now()
    const since = this.#doubts.get(path)
    if (path.lostAt === undefined) {
      path.lostAt = now
      path.isSilent = result === 'unknown'
      this.#lost.add(path)
      this.#timer ??= clock.every(PROBE_PERIOD, () => this.#tick())
      const fields = { endpoint: endpoint.id, service: endpoint.service, result, contactAgeMs: ageOf(path.contactAt, now) }
      log.emit(REACH_EVENTS.pathLost, fields)
      if (this.#cutAt === undefined) endpoint.noteConnectionFailure(now)
      else path.isCut = true
      // Where new connections are refused, those that are open may live on.
      if (path.isSilent || path.silentSince !== undefined) this.#tellLost(path)
      this.#checkService(endpoint.service)
    }
    if (since !== undefined && this.#lastContactAt <= since) this.#suspect()
  }

  /** A path was lost: the service is lost with its last one; the other endpoints are probed unless they gave a sign of life just now. */
  #checkService (service: ServiceId): void {
    if (this.#cutAt !== undefined || !this.reaches(service)) return
    const left = this.#candidates(service)
    if (left.length === 0) return this.#loseServices([service])
    const latest = this.#options.clock.now() - MIN_SILENCE_SPACING
    const silent = left.filter(({ contactAt }) => contactAt < latest)
    for (const path of byLatestContact(silent).slice(0, MAX_PROBED_PER_SERVICE)) this.#prober.probe(path)
  }

  /** Tells that calls on the path will not be answered, unless bytes have come since the first sign of its loss. */
  #tellLost ({ endpoint, contactAt, silentSince, lostAt }: Path): void {
    if (contactAt > (silentSince ?? lostAt ?? Infinity)) return
    for (const listener of this.#lostListeners) listener(endpoint)
  }

  #suspect (): void {
    if (this.#suspicion !== undefined || this.#cutAt !== undefined) return
    const { clock, log } = this.#options
    const now = clock.now()
    const since = millis(Math.min(now, ...this.#doubts.values()))
    const chosen = this.#choose()
    this.#suspicion = { since, pending: new Set(chosen) }
    log.emit(REACH_EVENTS.reachDoubted, {
      doubted: this.#doubts.size, probed: chosen.length, doubtAgeMs: now - since, contactAgeMs: ageOf(this.#lastContactAt, now)
    })
    for (const path of chosen) this.#prober.probe(path)
    if (chosen.length === 0) this.#declareCut()
  }

  /** Some endpoints of every service, without those that are known to accept no connection. */
  #choose (): readonly Path[] {
    const byService = this.#options.directory.services.map((service) => this.#candidates(service)).filter((paths) => paths.length > 0)
    const count = Math.max(1, Math.min(MAX_PROBED_PER_SERVICE, Math.floor(MAX_OPEN_PROBES / byService.length)))
    return byService.flatMap((paths) => byLatestContact(paths).slice(0, count))
  }

  /** Usable endpoints of a service that may accept connections. */
  #candidates (service: ServiceId): readonly Path[] {
    return this.#usable(service).filter(({ lostAt }) => lostAt === undefined)
  }

  #usable (service: ServiceId): readonly Path[] {
    return this.#options.directory.usable(service).map((endpoint) => this.#paths.of(endpoint))
  }

  #allUsable (): readonly Path[] {
    return this.#options.directory.services.flatMap((service) => this.#usable(service))
  }

  /** A probe is over: the last one of a suspicion decides it. */
  #settle (path: Path): void {
    if (this.#suspicion?.pending.delete(path) === true && this.#suspicion.pending.size === 0) this.#declareCut()
    if (this.#recovery?.delete(path) === true && this.#recovery.size === 0) this.#endRecovery()
  }

  #endSuspicion ({ endpoint }: Path): void {
    if (this.#suspicion === undefined) return
    this.#suspicion = undefined
    this.#options.log.emit(REACH_EVENTS.reachConfirmed, { endpoint: endpoint.id, service: endpoint.service })
  }

  #declareCut (): void {
    const { clock } = this.#options
    const { since } = this.#suspicion!
    this.#suspicion = undefined
    if (this.#allUsable().length === 0) return
    this.#cutAt = clock.now()
    this.#recovery = undefined
    this.#doubts.clear()
    this.#timer ??= clock.every(PROBE_PERIOD, () => this.#tick())
    this.#loseServices(this.#options.directory.services)
    const paths = this.#allUsable()
    const isSilent = paths.some((path) => path.isSilent)
    for (const path of paths) {
      path.isCut = path.lostAt === undefined || path.lostAt >= since
      if (isSilent && path.contactAt <= since && path.lostAt === undefined) this.#tellLost(path)
    }
  }

  #loseServices (services: readonly ServiceId[]): void {
    const { clock, log, directory } = this.#options
    const now = clock.now()
    const lost = services.filter((service) => this.reaches(service) && directory.usable(service).length > 0)
    for (const service of lost) {
      const paths = this.#usable(service)
      const contactAt = millis(Math.max(...paths.map((path) => path.contactAt)))
      const failed = paths.filter(({ lostAt }) => lostAt !== undefined).length
      log.emit(REACH_EVENTS.serviceUnreached, { service, endpoints: paths.length, failed, contactAgeMs: ageOf(contactAt, now) })
      this.#unreached.add(service)
    }
    this.#announce(lost, false)
  }

  /** A connection opened: the paths are back, and those to the other services with them if their endpoints answer now. */
  #endCut (path: Path): void {
    if (this.#cutAt !== undefined) this.#beginRecovery(path)
    this.#regain([path.endpoint.service], path.endpoint)
  }

  #beginRecovery (opened: Path): void {
    this.#cutAt = undefined
    this.#healedAt = this.#options.clock.now()
    for (const path of this.#allUsable()) if (path.isCut && path.lostAt === undefined) forgetCut(path)
    const unreached = [...this.#unreached].flatMap((service) => byLatestContact(this.#usable(service)).slice(0, MAX_PROBED_PER_SERVICE))
    const awaited = [...new Set([opened, ...unreached, ...this.#lost])]
    this.#recovery = new Set(awaited)
    for (const path of awaited) this.#prober.probe(path)
  }

  /** A service that none of its endpoints accepts connections for, since the cut has ended, stays lost. */
  #endRecovery (): void {
    this.#recovery = undefined
    this.#regainChanged()
    this.#held.endCut((endpoint, since) => this.#paths.of(endpoint).openedAt >= since)
  }

  /** Services that are lost no more, since the list has other endpoints now. */
  #regainChanged (): void {
    const changed = [...this.#unreached].filter((service) => this.#usable(service).length === 0 || this.#candidates(service).length > 0)
    this.#regain(changed, undefined)
  }

  #regain (services: readonly ServiceId[], endpoint: Endpoint | undefined): void {
    const regained = services.filter((service) => this.#unreached.delete(service))
    for (const service of regained) this.#options.log.emit(REACH_EVENTS.serviceReached, { service, endpoint: endpoint?.id })
    this.#announce(regained, true)
  }

  #announce (services: readonly ServiceId[], isReached: boolean): void {
    if (services.length === 0) return
    this.#version++
    this.#peerReach.tell(this.#unreached)
    for (const service of services) for (const listener of this.#listeners) listener(service, isReached)
  }

  /** Probes what is not reached, in turn. */
  #tick (): void {
    if (this.#cutAt !== undefined) {
      this.#loseServices(this.#options.directory.services)
      for (const service of this.#unreached) this.#probeOldest(this.#usable(service), 1)
      return
    }
    if (this.#recovery === undefined) this.#regainChanged()
    if (this.#choose().length === 0) this.#suspect()
    for (const service of this.#unreached) this.#probeOldest(this.#usable(service), 1)
    this.#probeOldest([...this.#lost], PROBED_LOST)
    if (this.#lost.size + this.#unreached.size > 0) return
    this.#timer?.cancel()
    this.#timer = undefined
  }

  #probeOldest (paths: readonly Path[], count: number): void {
    const inTurn = [...paths].sort((left, right) => compareTimes(left.probedAt, right.probedAt))
    for (const path of inTurn.slice(0, count)) this.#prober.probe(path)
  }
}

const forgetCut = (path: Path): void => {
  path.isCut = false
  path.endpoint.forgetConnectionFailures()
}

const byLatestContact = (paths: readonly Path[]): readonly Path[] =>
  [...paths].sort((left, right) => compareTimes(right.contactAt, left.contactAt))

/** Compares two times of which both may be infinite. */
const compareTimes = (left: Millis, right: Millis): number => left === right ? 0 : left - right

/** Time since an event; undefined if there was none. */
const ageOf = (at: Millis, now: Millis): number | undefined => at === -Infinity ? undefined : now - at

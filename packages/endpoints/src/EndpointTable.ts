import { brand, millis } from '@papayahill/common'
import type {
  CallOutcome, Clock, DomainId, EndpointId, EventLog, Incarnation, InstanceId, Millis, Random, RegionId,
  ServiceId, Timer, VersionId
} from '@papayahill/common'
import type { InstanceList, ListedEndpoint } from '@papayahill/platform'
import type { ServiceKind } from '@papayahill/settings'
import { chooseEndpoint } from './chooseEndpoint.js'
import { chooseWatched, sharersOf } from './chooseWatched.js'
import {
  COLD_REPORT_PERIOD, MISSED_REPORTS, ROSTER_MAX_AGE, UPKEEP_PERIOD, WARM_POLLS_PER_SECOND, WARM_REPORT_PERIOD
} from './constants.js'
import { EndpointEntry } from './EndpointEntry.js'
import type { ReportEffect, RunningCall } from './EndpointEntry.js'
import { EndpointWatch } from './EndpointWatch.js'
import { ENDPOINTS_EVENTS } from './events.js'
import { ListReader } from './ListReader.js'
import { OutlierJudge } from './OutlierJudge.js'
import { PauseGuard } from './PauseGuard.js'
import { PrefixIndex } from './PrefixIndex.js'
import { ServicePool } from './ServicePool.js'
import type { Nearness } from './ServicePool.js'
import { SlotWords } from './SlotWords.js'
import type {
  EndpointAccess, EndpointLease, EndpointPool, EndpointStatus, LeaseWant, LifeState, LoadReport, RosterCopy, RosterLife,
  ServiceCapacity, ShareChannel, ShareEntry
} from './types.js'

const LEAVING_KEY = 'leaving/'
const MILLIS_IN_SECOND = 1000
/** Report delay that counts as ordinary when missed reports are counted. */
const REPORT_DELAY = millis(1000)
/** Upkeep rounds from one look at outliers to the next. */
const OUTLIER_ROUNDS = 5

/** The life of the entry instance that a table belongs to. */
export interface InstanceSelf {
  readonly id: InstanceId
  readonly incarnation: Incarnation
}

export interface EndpointTableOptions {
  readonly self: InstanceSelf
  /** Failure domain of this instance. */
  readonly domain: DomainId
  /** Region of a failure domain; undefined where the configuration does not name it. */
  readonly regionOf: (domain: DomainId) => RegionId | undefined
  readonly clock: Clock
  readonly random: Random
  readonly access: EndpointAccess
  readonly list: InstanceList
  readonly roster: RosterCopy
  readonly shares: ShareChannel
  /** Failure domains that are out now: by configuration or by latch. */
  readonly domainsOut: () => ReadonlySet<DomainId>
  /** Kind of a service; undefined where the configuration does not name it. */
  readonly serviceKind: (service: ServiceId) => ServiceKind | undefined
  readonly log: EventLog
  /** Oldest roster copy on which a slot of a cold endpoint is used; only measurements change it. */
  readonly rosterMaxAge?: Millis
  /** Whether prefixes are sent where they are cached; only measurements turn it off. */
  readonly hasAffinity?: boolean
}

const groupByVersion = (entries: readonly EndpointEntry[]): Iterable<readonly EndpointEntry[]> => {
  const groups = new Map<string, EndpointEntry[]>()
  for (const entry of entries) {
    const key = `${entry.listed.service} ${entry.listed.version}`
    const group = groups.get(key) ?? []
    group.push(entry)
    groups.set(key, group)
  }
  return groups.values()
}

/**
 * All endpoints as one instance sees and may use them.
 *
 * @example
 * const table = new EndpointTable({ self, domain, regionOf, clock, random, access, list, roster, shares, domainsOut, serviceKind, log })
 * table.start()
 * const lease = table.tryLease({ service, versions, class: classId, workspace, exclude: new Set() })
 */
export class EndpointTable implements EndpointPool {
  readonly #options: EndpointTableOptions
  readonly #rosterMaxAge: Millis
  readonly #entries = new Map<EndpointId, EndpointEntry>()
  readonly #watches = new Map<EndpointId, EndpointWatch>()
  readonly #pools = new Map<ServiceId, ServicePool>()
  readonly #reader: ListReader
  readonly #words: SlotWords
  readonly #judge: OutlierJudge
  readonly #prefixes: PrefixIndex
  readonly #pauses: PauseGuard
  readonly #asking = new Set<string>()
  readonly #states = new Map<EndpointId, LifeState>()
  #rosterSeen: { readonly version: number, readonly at: Millis } = { version: -1, at: millis(0) }
  #upkeep: Timer | undefined
  #rounds = 0

  constructor (options: EndpointTableOptions) {
    const { clock, random, list, log, self, shares, access, roster } = options
    this.#options = options
    this.#rosterMaxAge = options.rosterMaxAge ?? ROSTER_MAX_AGE
    this.#reader = new ListReader({ clock, random, list, log, onRead: (shown, gone) => this.#listRead(shown, gone) })
    this.#judge = new OutlierJudge({ clock, log })
    this.#prefixes = new PrefixIndex()
    this.#pauses = new PauseGuard({ clock, refresh: () => this.#reader.readNow() })
    this.#words = new SlotWords({
      self: self.incarnation,
      shares,
      holdings: (endpoint) => this.#entries.get(endpoint.id)?.holdings(endpoint, roster.view().version) ??
        { version: roster.view().version, busy: [], older: 0, believed: undefined }
    })
    shares.onEntry((entry) => this.#heardShare(entry))
    roster.onChange(() => this.#rosterChanged())
    access.onReport((report) => this.#heardReport(report))
    access.onCacheEvent((event) => this.#prefixes.hear(event))
  }

  start (): void {
    this.#reader.start()
    this.#upkeep = this.#options.clock.every(UPKEEP_PERIOD, () => this.#lookOver())
  }

  /** Closes all connections; calls under way on them are cut, so drain first. */
  stop (): void {
    this.#reader.stop()
    this.#upkeep?.cancel()
    for (const watch of this.#watches.values()) watch.stop()
    this.#watches.clear()
  }

  tryLease (want: LeaseWant): EndpointLease | undefined {
    const pool = this.#pools.get(want.service)
    if (pool === undefined) return undefined
    const now = this.#options.clock.now()
    if (this.#pauses.isResuming(now)) return undefined
    const out = this.#options.domainsOut()
    const isUsable = (entry: EndpointEntry): boolean =>
      !want.exclude.has(entry.listed.id) && !out.has(entry.listed.domain) && this.#mayTake(entry, now)
    for (const version of want.versions) {
      const lease = this.#leaseVersion(pool, version, want, isUsable, now)
      if (lease !== undefined) return lease
    }
    return undefined
  }

  capacity (service: ServiceId): ServiceCapacity {
    return this.#pools.get(service)?.capacity() ?? { slots: 0, busy: 0, meanCall: millis(0), load: 0 }
  }

  onFree (service: ServiceId, listener: () => void): void {
    this.#poolOf(service).onFree(listener)
  }

  snapshot (): readonly EndpointStatus[] {
    const now = this.#options.clock.now()
    return [...this.#entries.values()].map((entry) => ({
      endpoint: entry.listed,
      state: entry.state,
      incarnation: entry.incarnation,
      busy: entry.busy,
      limit: entry.limit(now)
    }))
  }

  #leaseVersion (
    pool: ServicePool, version: VersionId, want: LeaseWant, isUsable: (entry: EndpointEntry) => boolean, now: Millis
  ): EndpointLease | undefined {
    const endpoints = pool.version(version)
    if (endpoints === undefined) return undefined
    const prefix = this.#options.hasAffinity === false ? undefined : want.prefix
    const entry = chooseEndpoint({
      pool: endpoints, prefix, prefixes: this.#prefixes, random: this.#options.random, isUsable
    })
    const call = entry?.take(now)
    if (entry === undefined || call === undefined) return undefined
    if (prefix !== undefined && entry.incarnation !== undefined) this.#prefixes.sent(entry.listed.id, entry.incarnation, prefix)
    this.#place(entry)
    return this.#lease(pool, entry, call)
  }

  /** A slot of a cold endpoint is used only on a roster copy that is fresh in this very tick. */
  #mayTake (entry: EndpointEntry, now: Millis): boolean {
    if (!entry.hasRoom(now)) return false
    if (entry.state !== 'cold') return true
    const { roster } = this.#options
    return roster.isMember() && roster.age() <= this.#rosterMaxAge
  }

  #lease (pool: ServicePool, entry: EndpointEntry, call: RunningCall): EndpointLease {
    let isHeld = true
    return {
      endpoint: entry.listed.id,
      incarnation: call.incarnation,
      version: entry.listed.version,
      domain: entry.listed.domain,
      connection: entry.connection!,
      release: (outcome: CallOutcome, took: Millis) => {
        if (!isHeld) return
        isHeld = false
        entry.ended(call, outcome, this.#options.clock.now())
        this.#judge.ended(pool, entry, outcome, took)
        this.#changed(entry)
      }
    }
  }

  #listRead (shown: readonly ListedEndpoint[], gone: readonly EndpointId[]): void {
    for (const listed of shown) this.#listed(listed)
    for (const id of gone) this.#unlisted(id)
    this.#rewatch()
  }

  #listed (listed: ListedEndpoint): void {
    const known = this.#entries.get(listed.id)
    const entry = known ?? new EndpointEntry(this.#options.self.incarnation, listed)
    if (known === undefined) this.#options.log.emit(ENDPOINTS_EVENTS.endpointListed, { endpoint: listed.id, service: listed.service })
    this.#entries.set(listed.id, entry)
    const isNews = listed.state === 'leaving' && !entry.isLeaving
    entry.listed = listed
    entry.isUnlisted = false
    if (isNews) this.#leave(entry)
  }

  /** Stopping needs no agreement: what one instance sees leaving, all stop using at once. */
  #leave (entry: EndpointEntry): void {
    entry.leave()
    this.#changed(entry)
    if (entry.incarnation !== undefined) this.#options.shares.publish(`${LEAVING_KEY}${entry.listed.id}`, entry.incarnation)
  }

  #heardShare (share: ShareEntry): void {
    if (!share.key.startsWith(LEAVING_KEY)) return
    const entry = this.#entries.get(brand<EndpointId>(share.key.slice(LEAVING_KEY.length)))
    if (entry === undefined || entry.incarnation === undefined || share.value !== entry.incarnation) return
    entry.leave()
    this.#changed(entry)
  }

  #unlisted (id: EndpointId): void {
    const entry = this.#entries.get(id)
    if (entry === undefined) return
    entry.isUnlisted = true
    this.#changed(entry)
    this.#options.log.emit(ENDPOINTS_EVENTS.endpointUnlisted, { endpoint: id })
  }

  #rosterChanged (): void {
    for (const [id, entry] of this.#entries) if (this.#watches.has(id)) this.#changed(entry)
    this.#rewatch()
  }

  /** First time at which this instance saw the roster that it goes by. */
  #rosterSeenAt (): Millis {
    const { version } = this.#options.roster.view()
    if (version !== this.#rosterSeen.version) this.#rosterSeen = { version, at: this.#options.clock.now() }
    return this.#rosterSeen.at
  }

  #lives (): readonly RosterLife[] {
    const { members, departed } = this.#options.roster.view()
    return [...members, ...departed]
  }

  /** Opens and closes watches, so that this instance keeps a bounded number of connections. */
  #rewatch (): void {
    const out = this.#options.domainsOut()
    const usable = [...this.#entries.values()].filter((entry) =>
      !entry.isUnlisted && entry.listed.state === 'live' && !out.has(entry.listed.domain))
    const wanted = new Set<EndpointId>()
    for (const group of groupByVersion(usable)) for (const id of this.#choose(group)) wanted.add(id)
    for (const id of wanted) if (!this.#watches.has(id)) this.#watch(this.#entries.get(id)!)
    for (const id of this.#watches.keys()) if (!wanted.has(id)) this.#unwatch(id)
    for (const [id, entry] of this.#entries) if (entry.isUnlisted && !this.#watches.has(id)) this.#entries.delete(id)
  }

  #choose (usable: readonly EndpointEntry[]): ReadonlySet<EndpointId> {
    const { members } = this.#options.roster.view()
    for (const entry of usable) entry.sharers = sharersOf(members.length, usable.length)
    return chooseWatched({
      self: this.#options.self.incarnation,
      endpoints: usable.map((entry) => entry.listed),
      members,
      nearness: (endpoint) => this.#nearness(endpoint.domain)
    })
  }

  #watch (entry: EndpointEntry): void {
    const { clock, random, access, serviceKind } = this.#options
    const watch = new EndpointWatch({
      entry,
      clock,
      random,
      access,
      kind: () => serviceKind(entry.listed.service),
      lives: () => this.#lives(),
      warmPeriod: () => this.#warmPeriod(),
      onChange: (effect) => this.#watched(entry, effect)
    })
    this.#watches.set(entry.listed.id, watch)
    watch.start()
  }

  /** A watch ends once its last call has; until then the endpoint gets no new work anyway. */
  #unwatch (id: EndpointId): void {
    const entry = this.#entries.get(id)
    if (entry !== undefined && entry.busy > 0) return
    this.#watches.get(id)?.stop()
    this.#watches.delete(id)
    if (entry === undefined) return
    this.#poolOf(entry.listed.service).drop(entry)
    this.#judge.forget(entry)
  }

  #watched (entry: EndpointEntry, effect: ReportEffect | 'connected' | 'disconnected'): void {
    if (effect === 'silent-restart') this.#options.log.emit(ENDPOINTS_EVENTS.silentRestart, { endpoint: entry.listed.id })
    if (effect === 'silent-restart' || effect === 'disconnected') this.#prefixes.forget(entry.listed.id)
    if (effect === 'other-life') this.#watches.get(entry.listed.id)?.pollNow()
    this.#changed(entry)
  }

  #heardReport (report: LoadReport): void {
    const entry = this.#entries.get(report.endpoint)
    if (entry === undefined || !this.#watches.has(report.endpoint)) return
    this.#watched(entry, entry.hear(report, undefined, this.#lives()))
  }

  #changed (entry: EndpointEntry): void {
    this.#place(entry)
    if (entry.hasRoom(this.#options.clock.now())) this.#poolOf(entry.listed.service).tellFree()
  }

  #place (entry: EndpointEntry): void {
    entry.isOut = this.#options.domainsOut().has(entry.listed.domain)
    entry.updateLedger(this.#options.roster.view(), this.#rosterSeenAt())
    this.#poolOf(entry.listed.service).place(entry, this.#nearness(entry.listed.domain), this.#options.clock.now())
  }

  #lookOver (): void {
    this.#pauses.tick()
    const now = this.#options.clock.now()
    for (const [id, watch] of this.#watches) {
      const entry = this.#entries.get(id)
      if (entry !== undefined) this.#lookAt(entry, watch, now)
    }
    if (++this.#rounds % OUTLIER_ROUNDS === 0) for (const pool of this.#pools.values()) this.#judge.lookOver(pool)
  }

  #lookAt (entry: EndpointEntry, watch: EndpointWatch, now: Millis): void {
    this.#missReports(entry, now)
    if (entry.isSuspect(now)) watch.pollNow()
    entry.ledger?.expire(now, entry.olderLifeSeenAt)
    if (entry.state === 'cold') this.#askWords(entry)
    this.#changed(entry)
    this.#tellState(entry)
  }

  #missReports (entry: EndpointEntry, now: Millis): void {
    if (entry.report === undefined || entry.areReportsMissing) return
    const period = entry.state === 'warm' ? this.#warmPeriod() : COLD_REPORT_PERIOD
    if (now - entry.reportAskedAt <= MISSED_REPORTS * period + REPORT_DELAY) return
    entry.areReportsMissing = true
    this.#options.log.emit(ENDPOINTS_EVENTS.reportsMissing, { endpoint: entry.listed.id })
  }

  #tellState (entry: EndpointEntry): void {
    const { id } = entry.listed
    const before = this.#states.get(id)
    if (before === entry.state) return
    this.#states.set(id, entry.state)
    this.#options.log.emit(ENDPOINTS_EVENTS.endpointState, { endpoint: id, before, state: entry.state })
  }

  #askWords (entry: EndpointEntry): void {
    const { ledger } = entry
    if (ledger === undefined) return
    for (const life of ledger.awaited()) void this.#askWord(entry, life)
  }

  async #askWord (entry: EndpointEntry, life: RosterLife): Promise<void> {
    const { ledger } = entry
    const key = `${entry.listed.id} ${life.incarnation}`
    if (ledger === undefined || this.#asking.has(key)) return
    this.#asking.add(key)
    const askedUnder = ledger.version
    const word = await this.#words.ask(life, ledger.endpoint)
    this.#asking.delete(key)
    if (word === undefined || entry.ledger !== ledger) return
    if (ledger.isInherited && (word.older > 0 || !word.isSameLife)) return
    ledger.hear(word, askedUnder)
    this.#changed(entry)
  }

  #warmPeriod (): Millis {
    return millis(Math.max(WARM_REPORT_PERIOD, this.#watches.size * MILLIS_IN_SECOND / WARM_POLLS_PER_SECOND))
  }

  #nearness (domain: DomainId): Nearness {
    if (domain === this.#options.domain) return 0
    const region = this.#options.regionOf(domain)
    return region !== undefined && region === this.#options.regionOf(this.#options.domain) ? 1 : 2
  }

  #poolOf (service: ServiceId): ServicePool {
    const known = this.#pools.get(service) ?? new ServicePool(service)
    this.#pools.set(service, known)
    return known
  }
}

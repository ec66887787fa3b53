import { millis } from '@papayahill/common'
import type { CallOutcome, EndpointId, EndpointIncarnation, Millis, ServiceId, VersionId } from '@papayahill/common'
import type { ListedEndpoint } from '@papayahill/stores'
import type { RunningCall } from './CallSet.js'
import { chooseEndpoint } from './chooseEndpoint.js'
import { ROSTER_MAX_AGE } from './constants.js'
import { EndpointEntry } from './EndpointEntry.js'
import { EndpointMaintenance } from './EndpointMaintenance.js'
import type { EndpointTableOptions } from './EndpointTableOptions.js'
import type { WatchEffect } from './EndpointWatch.js'
import { ENDPOINTS_EVENTS } from './events.js'
import { LifecycleNotices } from './LifecycleNotices.js'
import type { NoticeKind } from './LifecycleNotices.js'
import { ListReader } from './ListReader.js'
import { OutlierDetector } from './OutlierDetector.js'
import { PauseGuard } from './PauseGuard.js'
import { PoolRegistry } from './PoolRegistry.js'
import { PrefixIndex } from './PrefixIndex.js'
import type { ServicePool } from './ServicePool.js'
import { SlotQueries } from './SlotQueries.js'
import type { SlotUsage } from './SlotQueries.js'
import type { SlottedEndpoint } from './slots.js'
import type { EndpointLease, EndpointPool, EndpointStatus, LeaseRequest, LoadReport, ServiceCapacity } from './types.js'
import { WatchManager } from './WatchManager.js'

/** Whether the list shows another service, version, domain or address for an endpoint than before. */
const isReassigned = (before: ListedEndpoint, now: ListedEndpoint): boolean =>
  before.service !== now.service || before.version !== now.version || before.domain !== now.domain ||
  before.address.ip !== now.address.ip || before.address.port !== now.address.port

/**
 * All endpoints as one instance sees and uses them.
 *
 * @example
 * const table = new EndpointTable({ self, domain, regionOf, clock, random, access, list, roster, channel, domainsOut, serviceKind, log })
 * table.start()
 * const lease = table.tryLease({ service, versions, class: classId, workspace, exclude: new Set() })
 */
export class EndpointTable implements EndpointPool {
  readonly #options: EndpointTableOptions
  readonly #entries = new Map<EndpointId, EndpointEntry>()
  readonly #watches: WatchManager
  readonly #notices: LifecycleNotices
  readonly #maintenance: EndpointMaintenance
  readonly #pools: PoolRegistry
  readonly #reader: ListReader
  readonly #slotQueries: SlotQueries
  readonly #outliers: OutlierDetector
  readonly #prefixes: PrefixIndex
  readonly #pauses: PauseGuard

  constructor (options: EndpointTableOptions) {
    const { clock, random, list, log, self, channel, access, roster } = options
    this.#options = options
    this.#pools = new PoolRegistry({ ...options, rosterMaxAge: options.rosterMaxAge ?? ROSTER_MAX_AGE })
    this.#reader = new ListReader({ clock, random, list, log, onRead: (shown, gone) => this.#applyList(shown, gone) })
    this.#outliers = new OutlierDetector({ clock, log })
    this.#watches = new WatchManager({
      self: self.incarnation,
      clock,
      random,
      access,
      roster,
      domainsOut: options.domainsOut,
      serviceKind: options.serviceKind,
      nearness: (domain) => this.#pools.nearness(domain),
      onChange: (entry, effect) => this.#handleWatchEffect(entry, effect),
      onEnd: (entry) => this.#endWatch(entry),
      onIncarnationEnded: (incarnation) => options.onIncarnationEnded?.(incarnation)
    })
    this.#prefixes = new PrefixIndex()
    this.#pauses = new PauseGuard({ clock, refresh: () => this.#reader.readNow() })
    this.#slotQueries = new SlotQueries({ self: self.incarnation, channel, usageOf: (endpoint) => this.#slotUsage(endpoint) })
    this.#notices = new LifecycleNotices({
      self: self.id, channel, onNotice: (kind, id, incarnation) => this.#receiveNotice(kind, id, incarnation)
    })
    this.#maintenance = new EndpointMaintenance({
      clock,
      log,
      watches: this.#watches,
      slotQueries: this.#slotQueries,
      outliers: this.#outliers,
      pauses: this.#pauses,
      pools: () => this.#pools.all(),
      onChange: (entry) => this.#changed(entry)
    })
    roster.onChange(() => this.#rosterChanged())
    access.onReport((report) => this.#receiveReport(report))
    access.onCacheEvent((event) => this.#prefixes.receive(event))
  }

  start (): void {
    this.#reader.start()
    this.#maintenance.start()
  }

  /** Closes all connections; calls in progress on them are aborted, so drain first. */
  stop (): void {
    this.#reader.stop()
    this.#maintenance.stop()
    this.#watches.stop()
  }

  tryLease (request: LeaseRequest): EndpointLease | undefined {
    const pool = this.#pools.find(request.service)
    if (pool === undefined) return undefined
    const now = this.#options.clock.now()
    if (this.#pauses.isResuming(now)) return undefined
    const out = this.#options.domainsOut()
    const isUsable = (entry: EndpointEntry): boolean =>
      !request.exclude.has(entry.listed.id) && !out.has(entry.listed.domain) && this.#canAccept(entry, now)
    for (const version of request.versions) {
      const lease = this.#leaseVersion(pool, version, request, isUsable, now)
      if (lease !== undefined) return lease
    }
    return undefined
  }

  capacity (service: ServiceId): ServiceCapacity {
    return this.#pools.find(service)?.capacity() ?? { slots: 0, busy: 0, meanCall: millis(0), load: 0 }
  }

  onFree (service: ServiceId, listener: () => void): void {
    this.#pools.of(service).onFree(listener)
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
    pool: ServicePool, version: VersionId, request: LeaseRequest, isUsable: (entry: EndpointEntry) => boolean, now: Millis
  ): EndpointLease | undefined {
    const endpoints = pool.version(version)
    if (endpoints === undefined) return undefined
    const prefix = this.#options.hasAffinity === false ? undefined : request.prefix
    const entry = chooseEndpoint({
      pool: endpoints,
      prefix,
      prefixes: this.#prefixes,
      random: this.#options.random,
      meanLoad: pool.capacity().load,
      isUsable
    })
    const call = entry?.startCall(now)
    if (entry === undefined || call === undefined) return undefined
    if (prefix !== undefined && entry.incarnation !== undefined) this.#prefixes.noteSent(entry.listed.id, entry.incarnation, prefix)
    this.#pools.place(entry)
    return this.#lease(pool, entry, call, request)
  }

  /** A slot of a cold endpoint is used only if the roster copy is recent in this event loop iteration. */
  #canAccept (entry: EndpointEntry, now: Millis): boolean {
    if (!entry.hasCapacity(now)) return false
    return entry.state !== 'cold' || this.#pools.isRosterFresh()
  }

  /** Repeats the checks of {@link EndpointTable.tryLease}, whose results may have changed while the lease was held. */
  #canSend (entry: EndpointEntry, call: RunningCall): boolean {
    const { clock, domainsOut } = this.#options
    if (this.#pauses.isResuming(clock.now()) || domainsOut().has(entry.listed.domain) || entry.isLeaving) return false
    if (entry.connection === undefined || entry.incarnation !== call.incarnation) return false
    return call.slot === undefined || (this.#pools.isRosterFresh() && call.slot.ledger.isClear(call.slot.index))
  }

  #lease (pool: ServicePool, entry: EndpointEntry, call: RunningCall, request: LeaseRequest): EndpointLease {
    let isHeld = true
    return {
      endpoint: entry.listed.id,
      incarnation: call.incarnation,
      version: entry.listed.version,
      domain: entry.listed.domain,
      connection: entry.connection!,
      isUsable: () => isHeld && this.#canSend(entry, call),
      release: (outcome: CallOutcome, took: Millis, retryAfter?: Millis) => {
        if (!isHeld) return
        isHeld = false
        entry.endCall(call, outcome, this.#options.clock.now())
        this.#noteBackoff(entry, retryAfter)
        this.#outliers.recordCall(pool, entry, { class: request.class, outcome, took })
        this.#changed(entry)
      }
    }
  }

  /** Starts the backoff that an endpoint asked for; the endpoint is used again when it is over. */
  #noteBackoff (entry: EndpointEntry, span: Millis | undefined): void {
    const { clock, log } = this.#options
    if (span === undefined || !entry.backoff.begin(clock.now(), span)) return
    log.emit(ENDPOINTS_EVENTS.endpointQuiet, { endpoint: entry.listed.id, incarnation: entry.incarnation, quietForMs: span })
    clock.after(span, () => this.#changed(entry))
  }

  #slotUsage (endpoint: SlottedEndpoint): SlotUsage {
    const { version } = this.#options.roster.view()
    return this.#entries.get(endpoint.id)?.slotUsage(endpoint, version) ?? { version, busy: [], olderCalls: 0, knownIncarnation: undefined }
  }

  #applyList (shown: readonly ListedEndpoint[], gone: readonly EndpointId[]): void {
    for (const listed of shown) this.#applyListed(listed)
    for (const id of gone) this.#applyUnlisted(id)
    this.#updateWatches()
  }

  #applyListed (listed: ListedEndpoint): void {
    const known = this.#entries.get(listed.id)
    const entry = known ?? new EndpointEntry(this.#options.self.incarnation, listed)
    if (known === undefined) this.#options.log.emit(ENDPOINTS_EVENTS.endpointListed, { endpoint: listed.id, service: listed.service })
    this.#entries.set(listed.id, entry)
    const isNewlyLeaving = listed.state === 'leaving' && !entry.isLeaving
    if (isReassigned(entry.listed, listed)) this.#disconnect(entry)
    entry.listed = listed
    entry.isUnlisted = false
    if (isNewlyLeaving) this.#markLeaving(entry)
  }

  /** An endpoint is listed with another version or address: its connection and state are discarded. */
  #disconnect (entry: EndpointEntry): void {
    this.#endWatch(entry)
    entry.connection?.close()
  }

  /** Needs no agreement: when one instance sees an endpoint leaving, all stop using it at once. */
  #markLeaving (entry: EndpointEntry): void {
    entry.markLeaving()
    this.#changed(entry)
    this.#notices.publish('leaving', entry.listed.id, entry.incarnation)
  }

  #receiveNotice (kind: NoticeKind, id: EndpointId, incarnation: EndpointIncarnation): void {
    const entry = this.#entries.get(id)
    if (entry === undefined || entry.incarnation === undefined) return
    const isSameIncarnation = incarnation === entry.incarnation
    if (kind === 'leaving' && isSameIncarnation) entry.markLeaving()
    if (kind === 'life' && !isSameIncarnation) this.#suspendUntilReport(entry)
    this.#changed(entry)
  }

  /** Another instance saw a restart that kept connections open: nothing is sent until a newer report arrives. */
  #suspendUntilReport (entry: EndpointEntry): void {
    entry.suspendUntilReport(this.#options.clock.now())
    this.#watches.pollNow(entry)
  }

  #applyUnlisted (id: EndpointId): void {
    const entry = this.#entries.get(id)
    if (entry === undefined) return
    entry.isUnlisted = true
    this.#changed(entry)
    this.#options.log.emit(ENDPOINTS_EVENTS.endpointUnlisted, { endpoint: id })
  }

  #rosterChanged (): void {
    for (const entry of this.#watches.watched) this.#changed(entry)
    this.#updateWatches()
  }

  #updateWatches (): void {
    this.#watches.choose([...this.#entries.values()])
    for (const [id, entry] of this.#entries) if (entry.isUnlisted && !this.#watches.isWatched(entry)) this.#entries.delete(id)
  }

  #endWatch (entry: EndpointEntry): void {
    this.#pools.of(entry.listed.service).drop(entry)
    this.#outliers.forget(entry)
  }

  #handleWatchEffect (entry: EndpointEntry, effect: WatchEffect): void {
    if (effect === 'silent-restart') this.#noteSilentRestart(entry)
    if (effect === 'taken' && entry.isOverCapacity()) entry.ledger?.inheritCalls(this.#watches.instances(), this.#options.roster.view(), this.#pools.rosterSeenAt())
    if (effect === 'silent-restart' || effect === 'disconnected') this.#prefixes.forget(entry.listed.id)
    if (effect === 'other-life') this.#watches.pollNow(entry)
    this.#changed(entry)
  }

  #noteSilentRestart (entry: EndpointEntry): void {
    this.#options.log.emit(ENDPOINTS_EVENTS.silentRestart, { endpoint: entry.listed.id })
    this.#notices.publish('life', entry.listed.id, entry.incarnation)
  }

  #receiveReport (report: LoadReport): void {
    const entry = this.#entries.get(report.endpoint)
    if (entry === undefined || !this.#watches.isWatched(entry)) return
    this.#handleWatchEffect(entry, entry.receive(report, undefined, this.#watches.instances()))
  }

  #changed (entry: EndpointEntry): void {
    if (this.#pools.place(entry)) this.#pools.of(entry.listed.service).notifyFree()
  }
}

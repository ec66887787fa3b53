import { millis } from '@papayahill/common'
import type { Clock, DomainId, EndpointId, EventKind, EventLog, Millis, ServiceId } from '@papayahill/common'
import { FAILURE_MARGIN, LAPSE_GRACE, LAPSE_OUTAGE, MAX_REMEMBERED_ENDPOINTS } from './constants.js'
import { Endpoint, incarnationKeyOf } from './Endpoint.js'
import { DIRECTORY_EVENTS } from './events.js'
import { limitAfterAnswer, limitAfterNotice, noticeOf } from './NamedLimit.js'
import type { AnsweredLimit, LimitNotice, NamedLimit } from './NamedLimit.js'
import { NoticeMemory } from './NoticeMemory.js'
import type { TableListener } from './WatchedRows.js'
import type { EndpointRecord, TableRow } from './types.js'

export interface EndpointDirectoryOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly isDomainOut: (domain: DomainId) => boolean
}

const LIMIT_EVENTS: Readonly<Record<LimitKind, EventKind>> = {
  limit: DIRECTORY_EVENTS.endpointLimited, rejectionLimit: DIRECTORY_EVENTS.endpointBrittle
}

const medianOf = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0

/** Compares two records of one endpoint: negative if the left one is older. */
const compareRecords = (left: EndpointRecord, right: EndpointRecord): number =>
  (left.startedAt ?? 0) - (right.startedAt ?? 0) || left.sequence - right.sequence

const ENDPOINT_STATES = ['usable', 'cold', 'limited', 'brittle', 'suspect', 'quiet', 'draining', 'domain-out'] as const
/** State of an endpoint as seen by this instance. */
export type EndpointState = typeof ENDPOINT_STATES[number]

/** The limits that an endpoint's answers name: of requests per second, and of rejections per second while it is brittle. */
export type LimitKind = 'limit' | 'rejectionLimit'

/** What an endpoint announced about itself, as one instance tells it to another. */
export type EndpointAnnouncement =
  | { readonly kind: 'leaving', readonly endpoint: EndpointId, readonly incarnation: string }
  | { readonly kind: LimitKind, readonly endpoint: EndpointId, readonly incarnation: string, readonly notice: LimitNotice }

/** A decoded list entry: a record, or the reason why it could not be read. */
export type EndpointEntry = { readonly record: EndpointRecord } | { readonly malformed: string }

/**
 * The endpoints of all services, from the platform's list and this instance's own connections.
 *
 * @example
 * const directory = new EndpointDirectory({ clock, log, isDomainOut })
 * directory.usable(service)
 */
export class EndpointDirectory implements TableListener<EndpointEntry> {
  readonly #options: EndpointDirectoryOptions
  readonly #endpoints = new Map<EndpointId, Endpoint>()
  readonly #byService = new Map<ServiceId, Set<Endpoint>>()
  readonly #announcementListeners: Array<(announcement: EndpointAnnouncement) => void> = []
  readonly #goneListeners: Array<(endpoint: Endpoint, isRestart: boolean) => void> = []
  /** Endpoints whose entries are missing after an outage, and until when each is retained; a later outage does not extend it. */
  readonly #missing = new Map<Endpoint, Millis>()
  readonly #announced = new NoticeMemory(MAX_REMEMBERED_ENDPOINTS)
  #isRead = false
  #retainedUntil: Millis = millis(0)

  constructor (options: EndpointDirectoryOptions) {
    this.#options = options
  }

  /** Whether the list has been read since the start. */
  get isRead (): boolean {
    return this.#isRead
  }

  /** Calls the listener when an incarnation is gone; `isRestart` if another one took its place under the same id. */
  onGone (listener: (endpoint: Endpoint, isRestart: boolean) => void): void {
    this.#goneListeners.push(listener)
  }

  get (id: EndpointId): Endpoint | undefined {
    return this.#endpoints.get(id)
  }

  /** Number of endpoints by state. */
  stateCounts (): ReadonlyMap<EndpointState, number> {
    const now = this.#options.clock.now()
    const counts = new Map<EndpointState, number>(ENDPOINT_STATES.map((state) => [state, 0]))
    for (const endpoint of this.#endpoints.values()) {
      const state = this.#stateOf(endpoint, now)
      counts.set(state, (counts.get(state) ?? 0) + 1)
    }
    return counts
  }

  #stateOf (endpoint: Endpoint, now: Millis): EndpointState {
    if (!endpoint.isListed) return 'draining'
    if (this.#options.isDomainOut(endpoint.domain)) return 'domain-out'
    if (endpoint.backoffLeft(now) > 0) return 'quiet'
    if (endpoint.isSuspect(now)) return 'suspect'
    if (endpoint.isBrittle) return 'brittle'
    if (endpoint.limit?.perSecond !== undefined) return 'limited'
    return endpoint.isCold(now) ? 'cold' : 'usable'
  }

  /** Services that have endpoints. */
  get services (): readonly ServiceId[] {
    return [...this.#byService.keys()]
  }

  /** Number of a service's endpoints that are listed or retained. */
  count (service: ServiceId): number {
    return this.#byService.get(service)?.size ?? 0
  }

  /** Endpoints of a service that are listed or retained, whatever their state. */
  all (service: ServiceId): readonly Endpoint[] {
    return [...this.#byService.get(service) ?? []]
  }

  /** Whether an endpoint can accept new work. */
  isUsable (endpoint: Endpoint): boolean {
    return endpoint.isListed && !this.#options.isDomainOut(endpoint.domain)
  }

  /** Endpoints of a service that can accept new work. */
  usable (service: ServiceId): readonly Endpoint[] {
    return [...this.#byService.get(service) ?? []].filter((endpoint) => this.isUsable(endpoint))
  }

  /** Usable endpoints without those that are backing off; all usable ones if no other is left. */
  #available (service: ServiceId, now: Millis): readonly Endpoint[] {
    const usable = this.usable(service)
    const open = usable.filter((endpoint) => endpoint.isAvailable(now))
    return open.length > 0 ? open : usable
  }

  /** Usable endpoints, without those that back off, are suspected or fail far more often than the median, while others are left. */
  healthy (service: ServiceId): readonly Endpoint[] {
    const now = this.#options.clock.now()
    const usable = this.#available(service, now)
    const unsuspected = usable.filter((endpoint) => !endpoint.isSuspect(now))
    const limit = medianOf(unsuspected.map((endpoint) => endpoint.failShare)) + FAILURE_MARGIN
    const good = unsuspected.filter((endpoint) => endpoint.failShare <= limit)
    if (good.length > 0) return good
    return unsuspected.length > 0 ? unsuspected : usable
  }

  replaced (rows: ReadonlyArray<TableRow<EndpointEntry>>, outage: Millis): void {
    this.#isRead = true
    const listed = new Set(rows.map((row) => row.key))
    const missing = [...this.#endpoints.keys()].filter((id) => !listed.has(id))
    this.changed([...rows, ...missing.map((key) => ({ key, value: undefined, revision: 0 }))], outage)
  }

  compare (left: EndpointEntry, right: EndpointEntry): number {
    return 'record' in left && 'record' in right ? compareRecords(left.record, right.record) : 0
  }

  changed (rows: ReadonlyArray<TableRow<EndpointEntry>>, outage: Millis): void {
    if (outage >= LAPSE_OUTAGE) this.#retainMissing()
    for (const { key, value } of rows) this.#applyEntry(key as EndpointId, value)
  }

  #retainMissing (): void {
    const { clock } = this.#options
    this.#retainedUntil = millis(clock.now() + LAPSE_GRACE)
    clock.after(LAPSE_GRACE, () => this.#dropMissing())
  }

  #dropMissing (): void {
    const now = this.#options.clock.now()
    for (const [endpoint, until] of [...this.#missing]) if (until <= now) this.#drop(endpoint, 'did not register again after an outage')
  }

  #applyEntry (id: EndpointId, entry: EndpointEntry | undefined): void {
    const known = this.#endpoints.get(id)
    if (entry === undefined) return known === undefined ? undefined : this.#handleMissing(known)
    if ('malformed' in entry) {
      this.#options.log.emit(DIRECTORY_EVENTS.endpointMalformed, { endpoint: id, detail: entry.malformed })
      return known === undefined ? undefined : this.#drop(known, 'its entry cannot be read')
    }
    this.#update(entry.record, known)
  }

  #handleMissing (endpoint: Endpoint): void {
    const { clock, log } = this.#options
    if (clock.now() >= this.#retainedUntil) return this.#drop(endpoint, 'no longer listed')
    const until = this.#missing.get(endpoint) ?? this.#retainedUntil
    this.#missing.set(endpoint, until)
    log.emit(DIRECTORY_EVENTS.endpointsHeld, { endpoint: endpoint.id, forMs: millis(until - clock.now()) })
  }

  #update (record: EndpointRecord, known: Endpoint | undefined): void {
    if (known === undefined) return this.#add(record)
    if (compareRecords(record, known.record) < 0) return
    if (incarnationKeyOf(record) !== incarnationKeyOf(known.record)) {
      this.#drop(known, 'restarted', true)
      return this.#add(record)
    }
    this.#missing.delete(known)
    if (record.isDraining && !known.record.isDraining) {
      this.#options.log.emit(DIRECTORY_EVENTS.endpointLeaving, {
        endpoint: record.id, born: record.startedAt, source: 'list'
      })
    }
    known.record = record
    this.#noteCold(known)
  }

  #add (record: EndpointRecord): void {
    const { id, service, domain, version, isDraining, coldFor } = record
    const endpoint = new Endpoint(record, (known, avoidedFor) => this.#noteSuspicion(known, avoidedFor))
    const announced = this.#announced.get(id, endpoint.incarnation)
    endpoint.isLeaving = announced?.isLeaving ?? false
    endpoint.limit = announced?.limit
    endpoint.rejectionLimit = announced?.rejectionLimit
    this.#endpoints.set(id, endpoint)
    const siblings = this.#byService.get(service) ?? new Set()
    this.#byService.set(service, siblings.add(endpoint))
    this.#options.log.emit(DIRECTORY_EVENTS.endpointSeen, { endpoint: id, service, domain, version, isDraining, coldFor })
    this.#noteCold(endpoint)
  }

  #noteSuspicion ({ id, service, failShare }: Endpoint, avoidedFor: Millis | undefined): void {
    const { log } = this.#options
    if (avoidedFor === undefined) return log.emit(DIRECTORY_EVENTS.endpointTrusted, { endpoint: id, service })
    log.emit(DIRECTORY_EVENTS.endpointSuspected, { endpoint: id, service, failShare, avoidedForMs: avoidedFor })
  }

  #noteCold (endpoint: Endpoint): void {
    const { coldFor } = endpoint.record
    if (coldFor > 0) this.markCold(endpoint, coldFor)
  }

  /** Records that the endpoint reported to stay cold for a time from now. */
  markCold (endpoint: Endpoint, coldFor: Millis): void {
    const now = this.#options.clock.now()
    if (!endpoint.isCold(now)) this.#options.log.emit(DIRECTORY_EVENTS.endpointCold, { endpoint: endpoint.id, coldFor })
    endpoint.coldUntil = millis(now + coldFor)
  }

  /** Calls the listener with each announcement that an endpoint makes to this instance. */
  onAnnouncement (listener: (announcement: EndpointAnnouncement) => void): void {
    this.#announcementListeners.push(listener)
  }

  /** Records that the endpoint announced its leaving to this instance. */
  noteLeaving (endpoint: Endpoint): void {
    if (endpoint.isLeaving) return
    this.#markLeaving(endpoint, 'answer')
    this.#announce({ kind: 'leaving', endpoint: endpoint.id, incarnation: endpoint.incarnation })
  }

  /** Records what an answer to this instance states about a limit of the endpoint, also that it names none. */
  noteLimit (endpoint: Endpoint, answer: AnsweredLimit, kind: LimitKind = 'limit'): void {
    const limit = limitAfterAnswer(endpoint[kind], answer, this.#options.clock.now())
    const isChange = limit?.version !== endpoint[kind]?.version
    this.#setLimit(endpoint, kind, limit)
    if (!isChange || limit === undefined) return
    this.#announce({ kind, endpoint: endpoint.id, incarnation: endpoint.incarnation, notice: noticeOf(limit) })
  }

  /** Records what an endpoint announced to another instance; the announcement may arrive before the endpoint's row. */
  receiveAnnouncement (announcement: EndpointAnnouncement): void {
    const { endpoint: id, incarnation } = announcement
    const known = this.#endpoints.get(id)
    if (known === undefined) return this.#rememberAnnouncement(announcement)
    if (known.incarnation !== incarnation) return
    if (announcement.kind !== 'leaving') return this.#receiveLimit(known, announcement.kind, announcement.notice)
    if (!known.isLeaving) this.#markLeaving(known, 'instance')
  }

  #receiveLimit (endpoint: Endpoint, kind: LimitKind, notice: LimitNotice): void {
    this.#setLimit(endpoint, kind, limitAfterNotice(endpoint[kind], notice, this.#options.clock.now()))
  }

  #announce (announcement: EndpointAnnouncement): void {
    for (const listener of this.#announcementListeners) listener(announcement)
  }

  #rememberAnnouncement (announcement: EndpointAnnouncement): void {
    const { endpoint, incarnation } = announcement
    if (announcement.kind === 'leaving') return this.#announced.update(endpoint, incarnation, { isLeaving: true })
    const { kind, notice } = announcement
    const known = this.#announced.get(endpoint, incarnation)?.[kind]
    this.#announced.update(endpoint, incarnation, { [kind]: limitAfterNotice(known, notice, this.#options.clock.now()) })
  }

  #markLeaving (endpoint: Endpoint, source: 'answer' | 'instance'): void {
    const { id, record, incarnation } = endpoint
    endpoint.isLeaving = true
    this.#announced.update(id, incarnation, { isLeaving: true })
    this.#options.log.emit(DIRECTORY_EVENTS.endpointLeaving, { endpoint: id, born: record.startedAt, source })
  }

  #setLimit (endpoint: Endpoint, kind: LimitKind, limit: NamedLimit | undefined): void {
    const previous = endpoint[kind]
    if (limit === previous) return
    endpoint[kind] = limit
    this.#announced.update(endpoint.id, endpoint.incarnation, { [kind]: limit })
    if (limit === undefined || limit.version === previous?.version) return
    const { id, record } = endpoint
    const { perSecond, version, source } = limit
    this.#options.log.emit(LIMIT_EVENTS[kind], {
      endpoint: id, born: record.startedAt, perSecond, before: previous?.perSecond, version, source
    })
  }

  /** Records that the endpoint asked for no requests for a time from now. */
  noteBackoff (endpoint: Endpoint, span: Millis): void {
    const { clock, log } = this.#options
    if (!endpoint.noteBackoff(clock.now(), span)) return
    const { id, record, running } = endpoint
    log.emit(DIRECTORY_EVENTS.endpointQuiet, { endpoint: id, born: record.startedAt, quietForMs: span, own: running })
  }

  #drop (endpoint: Endpoint, detail: string, isRestart = false): void {
    endpoint.isGone = true
    this.#missing.delete(endpoint)
    this.#endpoints.delete(endpoint.id)
    const siblings = this.#byService.get(endpoint.service)
    if (siblings?.delete(endpoint) === true && siblings.size === 0) this.#byService.delete(endpoint.service)
    this.#options.log.emit(DIRECTORY_EVENTS.endpointGone, { endpoint: endpoint.id, detail })
    for (const listener of this.#goneListeners) listener(endpoint, isRestart)
  }
}

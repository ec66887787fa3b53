import { millis } from '@papayahill/common'
import type { ClassId, EndpointId, Millis, ServiceId, VersionId } from '@papayahill/common'
import { CallStats } from './CallStats.js'
import { ClassTimes } from './ClassTimes.js'
import type { EndpointEntry } from './EndpointEntry.js'
import { FreeList } from './FreeList.js'
import { PrefixRing } from './PrefixRing.js'
import type { ServiceCapacity } from './types.js'

/** Distance class of an endpoint: 0 in the same domain, 1 in the same region, 2 elsewhere. */
export type Nearness = 0 | 1 | 2

export const NEARNESSES: readonly Nearness[] = [0, 1, 2]

/** The endpoints of one version, with lists of those that seem to have free capacity. */
export class VersionPool {
  readonly cold = new FreeList<EndpointEntry>()
  readonly warm: readonly [FreeList<EndpointEntry>, FreeList<EndpointEntry>, FreeList<EndpointEntry>] =
    [new FreeList(), new FreeList(), new FreeList()]

  readonly ring = new PrefixRing()
  readonly #entries = new Map<EndpointId, EndpointEntry>()

  entry (id: EndpointId): EndpointEntry | undefined {
    return this.#entries.get(id)
  }

  place (entry: EndpointEntry, nearness: Nearness, now: Millis): void {
    this.#entries.set(entry.listed.id, entry)
    this.ring.add(entry.listed.id)
    const hasCapacity = entry.hasCapacity(now)
    const state = entry.state
    this.#set(this.cold, entry, hasCapacity && state === 'cold')
    this.#set(this.warm[nearness], entry, hasCapacity && state === 'warm')
  }

  drop (entry: EndpointEntry): void {
    this.#entries.delete(entry.listed.id)
    this.ring.delete(entry.listed.id)
    for (const list of [this.cold, ...this.warm]) list.delete(entry)
  }

  #set (list: FreeList<EndpointEntry>, entry: EndpointEntry, isIn: boolean): void {
    if (isIn) list.add(entry)
    else list.delete(entry)
  }
}

/** Conditions under which an endpoint is placed. */
export interface Placement {
  readonly nearness: Nearness
  readonly now: Millis
  /** Whether the roster copy is recent enough for slots of cold endpoints. */
  readonly isRosterFresh: boolean
}

interface EndpointCounts {
  /** Calls that this instance may start there now. */
  readonly free: number
  readonly busy: number
  readonly running: number
  readonly total: number
}

const NO_COUNTS: EndpointCounts = { free: 0, busy: 0, running: 0, total: 0 }

/**
 * The watched endpoints of one service, with running sums, so that neither a routing decision nor
 * {@link ServicePool.capacity} iterates over all of them.
 *
 * @example
 * const pool = new ServicePool(service)
 * pool.place(entry, { nearness: 0, now: clock.now(), isRosterFresh: true })
 * pool.capacity().slots
 */
export class ServicePool {
  readonly service: ServiceId
  readonly #stats = new CallStats()
  readonly #times = new ClassTimes()
  readonly #versions = new Map<VersionId, VersionPool>()
  readonly #counts = new Map<EndpointEntry, EndpointCounts>()
  readonly #listeners: Array<() => void> = []
  #sum = NO_COUNTS

  constructor (service: ServiceId) {
    this.service = service
  }

  /** Endpoints that this instance watches. */
  get entries (): Iterable<EndpointEntry> {
    return this.#counts.keys()
  }

  get size (): number {
    return this.#counts.size
  }

  version (version: VersionId): VersionPool | undefined {
    return this.#versions.get(version)
  }

  /** Records the time of a successful call and returns it as a multiple of the usual time of its class. */
  recordCallTime (classId: ClassId, took: Millis): number {
    this.#stats.add(true, took)
    return this.#times.relative(classId, took)
  }

  /** Updates the pool after a change of an endpoint; returns true if it has more free capacity than before. */
  place (entry: EndpointEntry, { nearness, now, isRosterFresh }: Placement): boolean {
    entry.typicalCall = millis(this.#stats.mean)
    this.#versionOf(entry).place(entry, nearness, now)
    const isUsable = isRosterFresh || entry.state !== 'cold'
    const free = isUsable && entry.hasCapacity(now) ? Math.max(0, entry.limit(now) - entry.busy) : 0
    const freeBefore = this.#counts.get(entry)?.free ?? 0
    this.#setCounts(entry, {
      free,
      busy: entry.busy,
      running: entry.report === undefined ? 0 : entry.report.running + entry.report.queued,
      total: entry.state === 'warm' ? entry.warmLimit.value : entry.coldMaxConcurrency
    })
    return free > freeBefore
  }

  drop (entry: EndpointEntry): void {
    for (const pool of this.#versions.values()) pool.drop(entry)
    this.#setCounts(entry, NO_COUNTS)
    this.#counts.delete(entry)
  }

  capacity (): ServiceCapacity {
    const { free, busy, running, total } = this.#sum
    return { slots: free + busy, busy, meanCall: millis(this.#stats.mean), load: total === 0 ? 0 : running / total }
  }

  onFree (listener: () => void): void {
    this.#listeners.push(listener)
  }

  notifyFree (): void {
    for (const listener of this.#listeners) listener()
  }

  #setCounts (entry: EndpointEntry, counts: EndpointCounts): void {
    const before = this.#counts.get(entry) ?? NO_COUNTS
    this.#counts.set(entry, counts)
    this.#sum = {
      free: this.#sum.free + counts.free - before.free,
      busy: this.#sum.busy + counts.busy - before.busy,
      running: this.#sum.running + counts.running - before.running,
      total: this.#sum.total + counts.total - before.total
    }
  }

  #versionOf (entry: EndpointEntry): VersionPool {
    const { version } = entry.listed
    const known = this.#versions.get(version) ?? new VersionPool()
    this.#versions.set(version, known)
    return known
  }
}

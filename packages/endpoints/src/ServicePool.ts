import { millis } from '@papayahill/common'
import type { ClassId, EndpointId, Millis, ServiceId, VersionId } from '@papayahill/common'
import { CallStats } from './CallStats.js'
import { ClassTimes } from './ClassTimes.js'
import type { EndpointEntry } from './EndpointEntry.js'
import { FreeList } from './FreeList.js'
import { PrefixRing } from './PrefixRing.js'
import type { ServiceCapacity } from './types.js'

/** How far away an endpoint is: same domain, same region, elsewhere. */
export type Nearness = 0 | 1 | 2

export const NEARNESSES: readonly Nearness[] = [0, 1, 2]

/** The endpoints of one version that seem to have room. */
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
    const hasRoom = entry.hasRoom(now)
    const state = entry.state
    this.#set(this.cold, entry, hasRoom && state === 'cold')
    this.#set(this.warm[nearness], entry, hasRoom && state === 'warm')
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

/** Under what an endpoint is placed. */
export interface Placing {
  readonly nearness: Nearness
  readonly now: Millis
  /** Whether the roster copy is fresh enough for slots of cold endpoints. */
  readonly isRosterFresh: boolean
}

interface Part {
  /** Calls that this instance may start there now. */
  readonly free: number
  readonly busy: number
  readonly running: number
  readonly total: number
}

const NO_PART: Part = { free: 0, busy: 0, running: 0, total: 0 }

/**
 * The watched endpoints of one service, with running sums, so that neither a decision nor
 * {@link ServicePool.capacity} goes through them all.
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
  readonly #parts = new Map<EndpointEntry, Part>()
  readonly #listeners: Array<() => void> = []
  #sum = NO_PART

  constructor (service: ServiceId) {
    this.service = service
  }

  /** Endpoints that this instance watches. */
  get entries (): Iterable<EndpointEntry> {
    return this.#parts.keys()
  }

  get size (): number {
    return this.#parts.size
  }

  version (version: VersionId): VersionPool | undefined {
    return this.#versions.get(version)
  }

  /** Takes the time of a call that ended well; tells it as a multiple of what is usual in its class. */
  took (of: ClassId, took: Millis): number {
    this.#stats.add(true, took)
    return this.#times.relative(of, took)
  }

  /** Takes over what changed at an endpoint; true where it has more room than before. */
  place (entry: EndpointEntry, { nearness, now, isRosterFresh }: Placing): boolean {
    entry.typicalCall = millis(this.#stats.mean)
    this.#versionOf(entry).place(entry, nearness, now)
    const isUsable = isRosterFresh || entry.state !== 'cold'
    const free = isUsable && entry.hasRoom(now) ? Math.max(0, entry.limit(now) - entry.busy) : 0
    const freeBefore = this.#parts.get(entry)?.free ?? 0
    this.#account(entry, {
      free,
      busy: entry.busy,
      running: entry.report === undefined ? 0 : entry.report.running + entry.report.queued,
      total: entry.state === 'warm' ? entry.warmLimit.value : entry.coldTotal
    })
    return free > freeBefore
  }

  drop (entry: EndpointEntry): void {
    for (const pool of this.#versions.values()) pool.drop(entry)
    this.#account(entry, NO_PART)
    this.#parts.delete(entry)
  }

  capacity (): ServiceCapacity {
    const { free, busy, running, total } = this.#sum
    return { slots: free + busy, busy, meanCall: millis(this.#stats.mean), load: total === 0 ? 0 : running / total }
  }

  onFree (listener: () => void): void {
    this.#listeners.push(listener)
  }

  tellFree (): void {
    for (const listener of this.#listeners) listener()
  }

  #account (entry: EndpointEntry, part: Part): void {
    const before = this.#parts.get(entry) ?? NO_PART
    this.#parts.set(entry, part)
    this.#sum = {
      free: this.#sum.free + part.free - before.free,
      busy: this.#sum.busy + part.busy - before.busy,
      running: this.#sum.running + part.running - before.running,
      total: this.#sum.total + part.total - before.total
    }
  }

  #versionOf (entry: EndpointEntry): VersionPool {
    const { version } = entry.listed
    const known = this.#versions.get(version) ?? new VersionPool()
    this.#versions.set(version, known)
    return known
  }
}

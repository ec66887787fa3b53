import { brand } from '@papayahill/common'
import type { ClassId, Json, StageId, StageRecord } from '@papayahill/common'
import { z } from 'zod'
import { SideCounts, sideSchema } from './SideCounts.js'
import type { Route } from './types.js'

/** Which of a move's two versions a call went to. */
export type Side = 'new' | 'old'

/** Grow-only counters of both versions on one route. */
export interface RouteCounts {
  readonly route: Route
  readonly new: SideCounts
  readonly old: SideCounts
}

const routesSchema = z.array(z.tuple([z.string(), z.string(), sideSchema, sideSchema]))

export const routeKey = (route: Route): string => `${route.class}/${route.stage}`

const emptyRoute = (route: Route): RouteCounts => ({ route, new: new SideCounts(), old: new SideCounts() })

/**
 * One instance's evidence on one move: grow-only counters by route.
 *
 * @example
 * const counts = new EvidenceCounts()
 * counts.count(record, 'new')
 * peers.publish('evidence', key, counts.toJson())
 */
export class EvidenceCounts {
  readonly #routes = new Map<string, RouteCounts>()

  get routes (): Iterable<RouteCounts> {
    return this.#routes.values()
  }

  get (key: string): RouteCounts | undefined {
    return this.#routes.get(key)
  }

  count (record: StageRecord, side: Side): void {
    const route: Route = { class: record.class, stage: record.call.stage }
    const key = routeKey(route)
    const counts = this.#routes.get(key) ?? emptyRoute(route)
    this.#routes.set(key, counts)
    counts[side].count(record)
  }

  add (other: EvidenceCounts): void {
    for (const [key, { route, new: newCounts, old }] of other.#routes) {
      const counts = this.#routes.get(key) ?? emptyRoute(route)
      this.#routes.set(key, counts)
      counts.new.add(newCounts)
      counts.old.add(old)
    }
  }

  clear (): void {
    for (const counts of this.#routes.values()) {
      counts.new.clear()
      counts.old.clear()
    }
  }

  /** The difference to `earlier`, an older state of the same evidence. */
  since (earlier: EvidenceCounts | undefined): EvidenceCounts {
    const delta = new EvidenceCounts()
    for (const [key, { route, new: newCounts, old }] of this.#routes) {
      const before = earlier?.get(key)
      if (before !== undefined && newCounts.equals(before.new) && old.equals(before.old)) continue
      delta.#routes.set(key, { route, new: newCounts.since(before?.new), old: old.since(before?.old) })
    }
    return delta
  }

  toJson (): Json {
    return [...this.#routes.values()].map(({ route, new: newCounts, old }) => [route.class, route.stage, newCounts.pack(), old.pack()])
  }

  /** Returns undefined if the value is not valid evidence. */
  static fromJson (value: unknown): EvidenceCounts | undefined {
    const parsed = routesSchema.safeParse(value)
    if (!parsed.success) return undefined
    const counts = new EvidenceCounts()
    for (const [classId, stage, newCounts, old] of parsed.data) {
      const route: Route = { class: brand<ClassId>(classId), stage: brand<StageId>(stage) }
      counts.#routes.set(routeKey(route), { route, new: SideCounts.unpack(newCounts), old: SideCounts.unpack(old) })
    }
    return counts
  }
}

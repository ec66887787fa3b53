import type { Clock, Incarnation, Json, Millis, WorkspaceId } from '@papayahill/common'
import type { Reporter, ReportSink } from '@papayahill/reports'
import { CollectedWindow } from './CollectedWindow.js'
import { LATE_WINDOWS, MAX_COLLECTED_ENTRIES, MAX_COLLECTED_WINDOWS, REPORTER_TTL } from './constants.js'
import { decodeCollectedUsage, encodeCollectedUsage } from './exportedUsage.js'
import type { UsageCounts } from './types.js'
import { decodeSection } from './usageMessages.js'
import type { UsageSection } from './usageMessages.js'

interface ReporterState {
  /** Session of the names; -1 if it has only been heard of through others. */
  readonly session: number
  readonly names: readonly WorkspaceId[]
  readonly current: number
  readonly since: number
  readonly at: Millis
  /** Whether it has stopped as planned. */
  readonly isFinished: boolean
}

/** Counts of all instances whose windows have no written report yet. */
export class UsageCollector implements ReportSink {
  readonly name = 'usage'
  readonly #clock: Clock
  readonly #onDrop: (window: number, totals: UsageCounts) => void
  readonly #windows = new Map<number, CollectedWindow>()
  readonly #reporters = new Map<Incarnation, ReporterState>()
  #writtenThrough = -1

  /** `onDrop` is called with the totals of each window that is dropped after its report was written. */
  constructor (clock: Clock, onDrop: (window: number, totals: UsageCounts) => void = () => {}) {
    this.#clock = clock
    this.#onDrop = onDrop
  }

  receive ({ incarnation }: Reporter, body: Json, at: Millis): void {
    const section = decodeSection(body)
    const reporter = this.#reporterOf(incarnation)
    const names = namesAfter(reporter, section)
    if (section.windows.some(({ counts }) => counts.some(([number]) => number >= names.length))) throw new Error('an unknown workspace')
    const { session, current, since, isLast: isFinished } = section
    this.#reporters.set(incarnation, { session, names, current, since, at, isFinished })
    for (const { window, counts } of section.windows) {
      for (const [number, count] of counts) this.#add(window, incarnation, names[number]!, count)
    }
    this.#limit()
  }

  exported (): Json {
    const reporters = [...this.#reporters].map(([incarnation, { current, since }]) => ({ incarnation, current, since }))
    return encodeCollectedUsage(reporters, new Map([...this.#windows].filter(([window]) => window > this.#writtenThrough)))
  }

  merge (exported: Json): void {
    const { reporters, windows } = decodeCollectedUsage(exported)
    for (const { window, settled, byIncarnation } of windows) {
      if (window > this.#writtenThrough) this.#windowOf(window).raise(settled)
      for (const [incarnation, counts] of byIncarnation) {
        for (const [workspace, count] of counts) this.#add(window, incarnation, workspace, count)
      }
    }
    for (const { incarnation, current, since } of reporters) {
      const known = this.#reporterOf(incarnation)
      this.#reporters.set(incarnation, { ...known, current: Math.max(known.current, current), since: Math.min(known.since, since) })
    }
    this.#limit()
  }

  /** Whether all these incarnations have reported beyond the end of a window. */
  isComplete (window: number, incarnations: Iterable<Incarnation>): boolean {
    for (const incarnation of incarnations) if ((this.#reporters.get(incarnation)?.current ?? -1) <= window) return false
    return true
  }

  /** Whether an instance that reported in this window or the one before has not reported beyond its end: it may only be cut off. */
  isAwaited (window: number): boolean {
    for (const { current, isFinished } of this.#reporters.values()) {
      if (!isFinished && current >= window - 1 && current <= window) return true
    }
    return false
  }

  /** The first window of which anything is known; undefined if nothing is. */
  get earliest (): number | undefined {
    const earliest = Math.min(...[...this.#reporters.values()].map(({ since }) => since), ...this.#windows.keys())
    return Number.isFinite(earliest) ? earliest : undefined
  }

  get openWindows (): number {
    return [...this.#windows.keys()].filter((window) => window > this.#writtenThrough).length
  }

  totals (window: number): Map<WorkspaceId, number> {
    return this.#windows.get(window)?.totals() ?? new Map()
  }

  /** Notes that reports are written up to a window, and drops windows some time after. */
  markWritten (through: number): void {
    if (through <= this.#writtenThrough) return
    this.#writtenThrough = through
    for (const [window, collected] of this.#windows) {
      if (window > through - LATE_WINDOWS) continue
      this.#windows.delete(window)
      this.#onDrop(window, collected.totals())
    }
    const now = this.#clock.now()
    for (const [incarnation, { at }] of this.#reporters) if (now - at > REPORTER_TTL) this.#reporters.delete(incarnation)
  }

  #add (window: number, incarnation: Incarnation, workspace: WorkspaceId, count: number): void {
    if (window > this.#writtenThrough - LATE_WINDOWS) this.#windowOf(window).add(incarnation, workspace, count)
  }

  #windowOf (window: number): CollectedWindow {
    const known = this.#windows.get(window) ?? new CollectedWindow()
    this.#windows.set(window, known)
    return known
  }

  #reporterOf (incarnation: Incarnation): ReporterState {
    const unknown = { session: -1, names: [], current: -1, since: Infinity, at: this.#clock.now(), isFinished: false }
    return this.#reporters.get(incarnation) ?? unknown
  }

  /** Bounds the memory while no report can be written. */
  #limit (): void {
    let entries = 0
    for (const { size } of this.#windows.values()) entries += size
    if (entries <= MAX_COLLECTED_ENTRIES && this.#windows.size <= MAX_COLLECTED_WINDOWS) return
    const oldestFirst = [...this.#windows].sort(([one], [other]) => one - other)
    for (const [window, collected] of oldestFirst) {
      if (this.#windows.size > MAX_COLLECTED_WINDOWS) this.#windows.delete(window)
      if (entries <= MAX_COLLECTED_ENTRIES || window === oldestFirst.at(-1)?.[0]) return
      entries -= collected.size
      collected.settle()
    }
  }
}

/** The names of a reporter's workspaces by their numbers, with those of a new section. Throws if earlier ones are missing. */
const namesAfter = ({ session, names }: ReporterState, section: UsageSection): readonly WorkspaceId[] => {
  const known = session === section.session ? names : []
  if (section.names.length === 0) return known
  if (section.firstName > known.length) throw new Error('names before these are missing')
  return [...known.slice(0, section.firstName), ...section.names]
}

import { epochMillis } from '@papayahill/common'
import type { Clock, Millis, WorkspaceId } from '@papayahill/common'
import type { FleetClock } from '@papayahill/reports'
import { DEFAULT_WINDOW, MAX_COUNTER_ENTRIES, MAX_COUNTER_WINDOWS, MAX_NAMES } from './constants.js'
import { windowAt } from './windows.js'

interface Entry {
  count: number
  /** Version of the counter at the last change. */
  version: number
}

interface CountedWindow {
  readonly entries: Map<WorkspaceId, Entry>
  version: number
}

/** Counts of one window that changed, by the numbers of their workspaces. */
export interface ChangedWindow {
  readonly window: number
  readonly counts: ReadonlyArray<readonly [workspace: number, count: number]>
}

export interface UsageCounterOptions {
  readonly clock: Clock
  readonly fleetClock: Pick<FleetClock, 'now'>
  readonly window?: Millis
}

/**
 * Counts the requests of this instance that began to run, by workspace and window. Each change bears the version of the counter,
 * so that a receiver that confirmed a version is sent later changes only.
 *
 * @example
 * counter.count(brand<WorkspaceId>('canicas-norte'))
 */
export class UsageCounter {
  readonly #options: UsageCounterOptions
  readonly #length: Millis
  readonly #startedAt: Millis
  readonly #windows = new Map<number, CountedWindow>()
  /** Numbers that stand for workspaces in reports, and their names in order of the numbers. */
  readonly #numbers = new Map<WorkspaceId, number>()
  #names: Array<{ readonly name: WorkspaceId, readonly version: number }> = []
  #namesLimit = MAX_NAMES
  #entries = 0
  #version = 1
  /** Increases when the numbers of workspaces are given out anew. */
  session = 0

  constructor (options: UsageCounterOptions) {
    this.#options = options
    this.#length = options.window ?? DEFAULT_WINDOW
    this.#startedAt = options.clock.now()
  }

  /** The window of this moment; all earlier ones are complete here. */
  get current (): number {
    return windowAt(this.#options.fleetClock.now(), this.#length)
  }

  /** The window in which this counter began, by the fleet clock as it is now. */
  get since (): number {
    const { clock, fleetClock } = this.#options
    return windowAt(epochMillis(fleetClock.now() - (clock.now() - this.#startedAt)), this.#length)
  }

  /** Counts a request that begins to run now. */
  count (workspace: WorkspaceId): void {
    const window = this.#windowOf(this.current)
    const version = this.#version
    window.version = version
    const entry = window.entries.get(workspace)
    if (entry === undefined) {
      this.#number(workspace)
      window.entries.set(workspace, { count: 1, version })
      this.#entries++
    } else {
      entry.count++
      entry.version = version
    }
  }

  /** The current version; later changes bear the next one. */
  takeVersion (): number {
    return this.#version++
  }

  /** The names of workspaces that were given numbers after a version, and the first of these numbers. */
  namesSince (version: number): { readonly first: number, readonly names: readonly WorkspaceId[] } {
    let first = this.#names.length
    while (first > 0 && this.#names[first - 1]!.version > version) first--
    return { first, names: this.#names.slice(first).map(({ name }) => name) }
  }

  changesSince (version: number): readonly ChangedWindow[] {
    const changed: ChangedWindow[] = []
    for (const [window, { entries, version: windowVersion }] of this.#windows) {
      if (windowVersion <= version) continue
      const counts: Array<readonly [number, number]> = []
      for (const [workspace, entry] of entries) if (entry.version > version) counts.push([this.#numbers.get(workspace)!, entry.count])
      changed.push({ window, counts })
    }
    return changed
  }

  /** Drops windows whose reports are written. */
  dropThrough (last: number): void {
    for (const [window, { entries }] of this.#windows) {
      if (window > last) continue
      this.#entries -= entries.size
      this.#windows.delete(window)
    }
  }

  #windowOf (window: number): CountedWindow {
    const known = this.#windows.get(window)
    if (known !== undefined) return known
    while (this.#windows.size >= MAX_COUNTER_WINDOWS || (this.#windows.size > 0 && this.#entries > MAX_COUNTER_ENTRIES)) {
      this.dropThrough(Math.min(...this.#windows.keys()))
    }
    const added = { entries: new Map<WorkspaceId, Entry>(), version: this.#version }
    this.#windows.set(window, added)
    return added
  }

  #number (workspace: WorkspaceId): void {
    if (this.#numbers.has(workspace)) return
    if (this.#names.length >= this.#namesLimit) this.#renumber()
    this.#numbers.set(workspace, this.#names.length)
    this.#names.push({ name: workspace, version: this.#version })
  }

  /** Gives out numbers anew, to the workspaces that have counts only. */
  #renumber (): void {
    this.session++
    this.#numbers.clear()
    this.#names = []
    for (const workspace of new Set([...this.#windows.values()].flatMap(({ entries }) => [...entries.keys()]))) {
      this.#numbers.set(workspace, this.#names.length)
      this.#names.push({ name: workspace, version: this.#version })
    }
    this.#namesLimit = Math.max(MAX_NAMES, this.#names.length * 2)
  }
}

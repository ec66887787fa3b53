import { millis } from '@papayahill/common'
import type { ClassId, Clock, EventLog, Millis, RequestRecord, StageRecord, Timer, WorkspaceId } from '@papayahill/common'
import {
  CLASS_DIGITS, CLASS_SLICE, CLASS_SLICES, MAX_WORKSPACE_SERIES, WATCH_MIN_REQUESTS, WATCH_PERIOD, WATCH_WINDOW,
  WORKSPACE_DIGITS, WORKSPACE_SLICE, WORKSPACE_SLICES
} from './constants.js'
import { METRICS_EVENTS } from './events.js'
import { Exposition } from './Exposition.js'
import { SliceRing } from './SliceRing.js'
import type { Attainment, Metrics } from './types.js'

/** Tells of classes that fall behind their target. */
export interface TargetWatch {
  readonly log: EventLog
  /** Share of requests of a class that must meet its target; undefined for an unknown class. */
  readonly attainmentOf: (classId: ClassId) => number | undefined
}

export interface ServingMetricsOptions {
  readonly clock: Clock
  readonly watch?: TargetWatch
}

/** One workspace's requests of one class. */
interface Series {
  readonly class: ClassId
  readonly workspace: WorkspaceId
  readonly ring: SliceRing
}

/**
 * Histograms and attainment per class, workspace and stage over windows. Memory is bounded: classes are few,
 * and of workspaces only the most recently served are followed.
 *
 * @example
 * const metrics = new ServingMetrics({ clock })
 * metrics.attainment(seconds(300))
 */
export class ServingMetrics implements Metrics {
  readonly #options: ServingMetricsOptions
  readonly #classes = new Map<ClassId, SliceRing>()
  /** In order of use, the least recently served first. */
  readonly #workspaces = new Map<string, Series>()
  readonly #exposition = new Exposition(() => this.#classAttainment(WATCH_WINDOW))
  readonly #behind = new Set<ClassId>()
  #timer: Timer | undefined

  constructor (options: ServingMetricsOptions) {
    this.#options = options
  }

  /** Begins to compare classes with their targets. */
  start (): void {
    this.#timer ??= this.#options.clock.every(WATCH_PERIOD, () => this.#compare())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  /** Classes first, each over all workspaces; then the workspaces that are followed. */
  attainment (window: Millis): readonly Attainment[] {
    const workspaces = [...this.#workspaces.values()].map((series) =>
      this.#attainmentOf(series.class, series.workspace, series.ring, window))
    return [...this.#classAttainment(window), ...workspaces.filter(({ requests }) => requests > 0)]
  }

  async exposition (): Promise<string> {
    return await this.#exposition.text()
  }

  stageEnded (record: StageRecord): void {
    this.#exposition.stageEnded(record)
  }

  requestEnded (record: RequestRecord, stages: readonly StageRecord[]): void {
    const now = this.#options.clock.now()
    this.#exposition.requestEnded(record)
    this.#ringOfClass(record.class).count(now, record, stages)
    this.#seriesOf(record).ring.count(now, record, stages)
  }

  #classAttainment (window: Millis): readonly Attainment[] {
    const lines = [...this.#classes].map(([classId, ring]) => this.#attainmentOf(classId, undefined, ring, window))
    return lines.filter(({ requests }) => requests > 0)
  }

  #attainmentOf (classId: ClassId, workspace: WorkspaceId | undefined, ring: SliceRing, window: Millis): Attainment {
    const sum = ring.over(this.#options.clock.now(), window)
    const { requests, met, refused, failed, took } = sum
    const at = (percentile: number): Millis => millis(took.totalCount === 0 ? 0 : took.getValueAtPercentile(percentile))
    return { class: classId, workspace, requests, met, refused, failed, p50: at(50), p95: at(95), p99: at(99), blame: sum.blame() }
  }

  #ringOfClass (classId: ClassId): SliceRing {
    const ring = this.#classes.get(classId) ?? new SliceRing({ span: CLASS_SLICE, count: CLASS_SLICES, digits: CLASS_DIGITS })
    this.#classes.set(classId, ring)
    return ring
  }

  #seriesOf ({ class: classId, workspace }: RequestRecord): Series {
    const key = `${workspace} ${classId}`
    const series = this.#workspaces.get(key) ?? {
      class: classId,
      workspace,
      ring: new SliceRing({ span: WORKSPACE_SLICE, count: WORKSPACE_SLICES, digits: WORKSPACE_DIGITS })
    }
    this.#workspaces.delete(key)
    this.#workspaces.set(key, series)
    const [oldest] = this.#workspaces.keys()
    if (this.#workspaces.size > MAX_WORKSPACE_SERIES && oldest !== undefined) this.#workspaces.delete(oldest)
    return series
  }

  #compare (): void {
    const { watch } = this.#options
    if (watch === undefined) return
    for (const line of this.#classAttainment(WATCH_WINDOW)) {
      const target = watch.attainmentOf(line.class)
      if (target === undefined || line.requests < WATCH_MIN_REQUESTS) continue
      this.#tell(watch.log, line, line.met / line.requests < target)
    }
  }

  #tell (log: EventLog, { class: classId, met, requests, blame }: Attainment, isBehind: boolean): void {
    if (isBehind === this.#behind.has(classId)) return
    if (isBehind) this.#behind.add(classId)
    else this.#behind.delete(classId)
    const kind = isBehind ? METRICS_EVENTS.classBehindTarget : METRICS_EVENTS.classOnTarget
    log.emit(kind, { class: classId, met, requests, stage: blame })
  }
}

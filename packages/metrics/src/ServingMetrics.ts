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

/** Where classes that miss their target are reported. */
export interface TargetWatch {
  readonly log: EventLog
  /** Share of a class's requests that must meet its target; undefined for an unknown class. */
  readonly attainmentOf: (classId: ClassId) => number | undefined
}

export interface ServingMetricsOptions {
  readonly clock: Clock
  readonly watch?: TargetWatch
}

/** Requests of one workspace and class. */
interface Series {
  readonly class: ClassId
  readonly workspace: WorkspaceId
  readonly ring: SliceRing
}

/**
 * Histograms and attainment per class, workspace and stage over time windows. Memory is bounded: there are few classes,
 * and only the most recently served workspaces are tracked.
 *
 * @example
 * const metrics = new ServingMetrics({ clock })
 * metrics.attainment(seconds(300))
 */
export class ServingMetrics implements Metrics {
  readonly #options: ServingMetricsOptions
  readonly #classes = new Map<ClassId, SliceRing>()
  /** In order of use, least recently served first. */
  readonly #workspaces = new Map<string, Series>()
  readonly #exposition = new Exposition(() => this.#classAttainment(WATCH_WINDOW))
  readonly #behindTarget = new Set<ClassId>()
  #timer: Timer | undefined

  constructor (options: ServingMetricsOptions) {
    this.#options = options
  }

  /** Starts comparing classes with their targets periodically. */
  start (): void {
    this.#timer ??= this.#options.clock.every(WATCH_PERIOD, () => this.#checkTargets())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#timer = undefined
  }

  /** First each class over all workspaces, then the tracked workspaces. */
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
    this.#ringOfClass(record.class).record(now, record, stages)
    this.#seriesOf(record).ring.record(now, record, stages)
  }

  #classAttainment (window: Millis): readonly Attainment[] {
    const lines = [...this.#classes].map(([classId, ring]) => this.#attainmentOf(classId, undefined, ring, window))
    return lines.filter(({ requests }) => requests > 0)
  }

  #attainmentOf (classId: ClassId, workspace: WorkspaceId | undefined, ring: SliceRing, window: Millis): Attainment {
    const sum = ring.sumOver(this.#options.clock.now(), window)
    const { requests, met, refused, failed, latencies } = sum
    const quantile = (percentile: number): Millis => millis(latencies.totalCount === 0 ? 0 : latencies.getValueAtPercentile(percentile))
    return {
      class: classId,
      workspace,
      requests,
      met,
      refused,
      failed,
      p50: quantile(50),
      p95: quantile(95),
      p99: quantile(99),
      blame: sum.slowestStage()
    }
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

  #checkTargets (): void {
    const { watch } = this.#options
    if (watch === undefined) return
    for (const line of this.#classAttainment(WATCH_WINDOW)) {
      const target = watch.attainmentOf(line.class)
      if (target === undefined || line.requests < WATCH_MIN_REQUESTS) continue
      this.#reportChange(watch.log, line, line.met / line.requests < target)
    }
  }

  #reportChange (log: EventLog, { class: classId, met, requests, blame }: Attainment, isBehind: boolean): void {
    if (isBehind === this.#behindTarget.has(classId)) return
    if (isBehind) this.#behindTarget.add(classId)
    else this.#behindTarget.delete(classId)
    const kind = isBehind ? METRICS_EVENTS.classBehindTarget : METRICS_EVENTS.classOnTarget
    log.emit(kind, { class: classId, met, requests, stage: blame })
  }
}

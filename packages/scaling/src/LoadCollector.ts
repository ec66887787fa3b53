import { millis } from '@papayahill/common'
import type { Clock, EventLog, Incarnation, Json, Millis, ServiceId } from '@papayahill/common'
import type { Reporter, ReportSink } from '@papayahill/reports'
import { MAX_REPORTERS, REPORTER_RETENTION } from './constants.js'
import { SCALING_EVENTS } from './events.js'
import { decodeLoadReport } from './loadMessages.js'
import { ReporterLoad } from './ReporterLoad.js'
import type { LoadSample } from './types.js'

export interface LoadCollectorOptions {
  readonly clock: Clock
  readonly log: EventLog
}

/**
 * Keeps the loads that instances report to this one.
 *
 * @example
 * collector.samples(service)
 */
export class LoadCollector implements ReportSink {
  readonly name = 'load'
  readonly #options: LoadCollectorOptions
  readonly #reporters = new Map<Incarnation, ReporterLoad>()

  constructor (options: LoadCollectorOptions) {
    this.#options = options
  }

  receive ({ id, incarnation }: Reporter, body: Json, at: Millis): void {
    const report = decodeLoadReport(body)
    if (report === undefined) return this.#options.log.emit(SCALING_EVENTS.loadMalformed, { instance: id })
    const known = this.#reporters.get(incarnation)
    if (known !== undefined) return known.apply(report, at)
    this.#dropSilent(at)
    if (this.#reporters.size >= MAX_REPORTERS) return
    const reporter = new ReporterLoad(incarnation, at)
    this.#reporters.set(incarnation, reporter)
    reporter.apply(report, at)
  }

  /** Nothing: a new receiver gets the whole load with each instance's next report, which is newer than any copy. */
  exported (): Json {
    return []
  }

  merge (_exported: Json): void {}

  /** What instances last reported for a service, with its age. */
  samples (service: ServiceId): readonly LoadSample[] {
    const now = this.#options.clock.now()
    const samples: LoadSample[] = []
    for (const reporter of this.#reporters.values()) reporter.addSamples(service, now, samples)
    return samples
  }

  /** Instances that were heard of within `age`, including those without load. */
  heardWithin (age: Millis): ReadonlySet<Incarnation> {
    const now = this.#options.clock.now()
    const heard = new Set<Incarnation>()
    for (const [incarnation, reporter] of this.#reporters) if (reporter.age(now) <= age) heard.add(incarnation)
    return heard
  }

  #dropSilent (now: Millis): void {
    for (const [incarnation, reporter] of this.#reporters) {
      if (reporter.age(millis(now)) > REPORTER_RETENTION) this.#reporters.delete(incarnation)
    }
  }
}

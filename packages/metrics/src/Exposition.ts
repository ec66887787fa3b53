import { MILLIS_PER_SECOND } from '@papayahill/common'
import type { RequestRecord, StageRecord } from '@papayahill/common'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { EXPOSED_BUCKETS } from './constants.js'
import type { Attainment } from './types.js'

const QUANTILES_SHOWN = ['p50', 'p95', 'p99'] as const

/**
 * The metrics of `/metrics`, in the Prometheus exposition format. Classes and stages are labels, because there are few
 * of them. Workspaces are reported in the status instead, to keep the cardinality low.
 *
 * @example
 * const exposition = new Exposition(() => metrics.attainment(seconds(60)))
 * await exposition.text()
 */
export class Exposition {
  readonly #registry = new Registry()
  readonly #requests = new Counter({
    name: 'papayahill_requests_total',
    help: 'Requests that ended, by class and outcome',
    labelNames: ['class', 'outcome'],
    registers: [this.#registry]
  })

  readonly #met = new Counter({
    name: 'papayahill_requests_target_met_total',
    help: 'Requests that met the target of their class',
    labelNames: ['class'],
    registers: [this.#registry]
  })

  readonly #stages = new Histogram({
    name: 'papayahill_stage_seconds',
    help: 'Time of stage calls without the queue, by class, stage and outcome',
    labelNames: ['class', 'stage', 'outcome'],
    buckets: [...EXPOSED_BUCKETS],
    registers: [this.#registry]
  })

  readonly #queues = new Histogram({
    name: 'papayahill_stage_queue_seconds',
    help: 'Time that stage calls waited in the queue, by class and stage',
    labelNames: ['class', 'stage'],
    buckets: [...EXPOSED_BUCKETS],
    registers: [this.#registry]
  })

  constructor (attainment: () => readonly Attainment[]) {
    const recent = new Gauge({
      name: 'papayahill_request_recent_seconds',
      help: 'Quantiles of answered requests in the last minute, by class',
      labelNames: ['class', 'quantile'],
      registers: [this.#registry],
      collect: () => {
        recent.reset()
        for (const line of attainment()) {
          if (line.workspace !== undefined) continue
          for (const quantile of QUANTILES_SHOWN) recent.set({ class: line.class, quantile }, line[quantile] / MILLIS_PER_SECOND)
        }
      }
    })
  }

  stageEnded ({ class: classId, call, outcome, took, queued }: StageRecord): void {
    this.#stages.observe({ class: classId, stage: call.stage, outcome }, took / MILLIS_PER_SECOND)
    this.#queues.observe({ class: classId, stage: call.stage }, queued / MILLIS_PER_SECOND)
  }

  requestEnded ({ class: classId, outcome, isTargetMet }: RequestRecord): void {
    this.#requests.inc({ class: classId, outcome })
    if (isTargetMet) this.#met.inc({ class: classId })
  }

  async text (): Promise<string> {
    return await this.#registry.metrics()
  }
}

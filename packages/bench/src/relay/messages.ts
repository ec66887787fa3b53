import type { ListedEndpoint } from '@papayahill/stores'

/** Addresses of the stand-ins once they listen. */
export interface StandInsReady {
  readonly origins: { readonly table: string, readonly objects: string, readonly instanceList: string }
  readonly endpoints: readonly ListedEndpoint[]
}

/** Requests at an even rate, each in turn to the instance and to the stand-in itself. */
export interface LatencyTask {
  readonly kind: 'latency'
  readonly relayed: string
  readonly direct: string
  readonly perSecond: number
  readonly seconds: number
}

/** Requests kept running at once, each followed by the next. */
export interface ThroughputTask {
  readonly kind: 'throughput'
  readonly relayed: string
  readonly atOnce: number
  readonly seconds: number
}

/** Streams kept running at once. */
export interface StreamTask {
  readonly kind: 'streams'
  readonly relayed: string
  readonly atOnce: number
  readonly seconds: number
}

export type CallerTask = LatencyTask | ThroughputTask | StreamTask

/** Times in milliseconds, as the caller's clock saw them. */
export interface LatencyResult {
  readonly kind: 'latency'
  readonly relayed: readonly number[]
  readonly direct: readonly number[]
  readonly failed: number
}

export interface ThroughputResult {
  readonly kind: 'throughput'
  readonly perSecond: number
  readonly failed: number
}

export interface StreamResult {
  readonly kind: 'streams'
  readonly seconds: number
  readonly chunks: number
  readonly whole: number
  readonly broken: number
}

export type CallerResult = LatencyResult | ThroughputResult | StreamResult

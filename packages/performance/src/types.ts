import type { Millis } from '@papayahill/common'

/** Kinds of work whose speed is learnt separately: plain calls, reading of prompts, steps of generation, batches of stages. */
export type WorkKind = 'plain' | 'prompt' | 'step' | 'batch'

/** A piece of work at an endpoint. */
export interface Work {
  readonly kind: WorkKind
  /** Work of one key takes a time that is proportional to its amount, such as all calls of a route. */
  readonly key: string
  /** Such as tokens, steps, or the milliseconds of a declared profile. */
  readonly amount: number
}

/** What is known of an endpoint when a call to it begins. */
export interface CallStart {
  readonly at: Millis
  /** Calls at the endpoint, this one included. */
  readonly concurrency: number
  /** Whether the caller counts all calls at the endpoint; otherwise the concurrency is an estimate. */
  readonly isLoadKnown: boolean
  /** How recent the report was that the estimate is from, 1 if it has just come. */
  readonly loadCertainty: number
  /** Slowdown that the endpoint reported, faded to this time. */
  readonly slowdown: number
  readonly isCold: boolean
}

/** One call, compared with the usual. */
export interface CallSample {
  readonly kind: WorkKind
  /** Its time as a multiple of the usual time at the service's mean, with the effect of concurrency; natural logarithm. */
  readonly ratio: number
  readonly concurrency: number
  readonly startedAt: Millis
  readonly endedAt: Millis
}

/** What was learnt of one kind of work at an endpoint. */
export interface LearntSpeed {
  readonly kind: WorkKind
  /** Time that work takes at the endpoint, as a multiple of the service's mean; natural logarithm. */
  readonly level: number
  /** Calls after which it starts to slow down. */
  readonly concurrency: number
  /** Time since the newest call that it was learnt from. */
  readonly age: Millis
}

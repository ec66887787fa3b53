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
  /** Slowdown that the endpoint reported, faded to this time. */
  readonly slowdown: number
  readonly isCold: boolean
}

/** A learnt speed, as one instance tells it to another. */
export interface SharedSpeed {
  readonly kind: WorkKind
  /** Time that work takes at the endpoint, as a multiple of the service's mean; natural logarithm. */
  readonly level: number
  /** Calls after which it starts to slow down. */
  readonly concurrency: number
  /** Time since the newest call that it was learnt from. */
  readonly age: Millis
}

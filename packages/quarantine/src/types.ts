import type { Brand, EndpointId, EpochMillis, InstanceId, Millis } from '@papayahill/common'

/** Something that requests have in common and that may crash what runs it: one part of a prompt, or a whole request that comes again. */
export type PartId = Brand<string, 'PartId'>

/** One version of a service with one model; crashes and answers are compared within it. */
export type ScopeId = Brand<string, 'ScopeId'>

/** One incarnation of an endpoint, as all instances name it. */
export interface ScopedIncarnation {
  readonly scope: ScopeId
  readonly endpoint: EndpointId
  readonly incarnation: string
}

/** The parts of one request, in the order of the request; the request as a whole, if it is among them, is the last one. */
export type RequestParts = readonly PartId[]

/** What one instance saw of an endpoint's crash; what it had not thought worth telling may be told later. */
export interface CrashReport extends ScopedIncarnation {
  readonly at: EpochMillis
  /** Time from the crash until it was told. */
  readonly age: Millis
  /** Requests at the endpoint whose answers had not begun, with those of their parts on which the reporter knows no answer. */
  readonly requests: readonly RequestParts[]
}

/** A crash report with its origin. */
export interface ReceivedReport {
  readonly report: CrashReport
  readonly reporter: InstanceId
  /** Monotonic time at which this instance could have learned of it first. */
  readonly learnedAt: Millis
}

/** Parts that requests must not have, together, at endpoints of a scope. */
export interface Quarantine {
  readonly scope: ScopeId
  /** More than one if the evidence does not tell them apart: they came together in every crash. */
  readonly parts: RequestParts
  /** Crashes that the parts explain. */
  readonly crashes: number
  readonly lastCrashAt: EpochMillis
  /** Crashes since the quarantine began, each by a trial. */
  readonly failedTrials: number
  /** Some of the endpoints that crashed. */
  readonly endpoints: readonly EndpointId[]
  /** Who put it there. */
  readonly source: QuarantineSource
}

/**
 * `own` and `peer`: by evidence, judged here or by another instance; `other-version`: carried over from another version of the
 * service, until one trial has shown whether it holds; `operator`: pinned, and never tried again.
 */
export type QuarantineSource = 'own' | 'peer' | 'other-version' | 'operator'

/** What an operator orders about parts of a scope. */
export interface QuarantineOrder {
  readonly action: 'lift' | 'pin'
  readonly scope: ScopeId
  readonly parts: RequestParts
  readonly by: string
  readonly at: EpochMillis
}

import type { Incarnation, InstanceId, Json, Millis } from '@papayahill/common'

/** One process that sends or receives reports. */
export interface Reporter {
  readonly id: InstanceId
  readonly incarnation: Incarnation
}

/** The holder of the duties as far as this instance knows; `DutyLease` of the package `duties` has this shape. */
export interface HolderView {
  readonly holder: Reporter | undefined
  onChange (listener: () => void): void
}

/** Part of a report, for one receiver. */
export interface ReportBody {
  readonly body: Json
  /** Called once the receiver has stored it. */
  confirm (): void
  /** Called if the receiver could not read it: it may lack what earlier bodies told it. */
  reject? (): void
}

/** Contributes a section to this instance's reports. */
export interface ReportSource {
  readonly name: string
  /** What the receiver does not have yet; undefined if there is nothing. */
  next (receiver: Incarnation): ReportBody | undefined
}

/** Stores a section of the reports that this instance receives. */
export interface ReportSink {
  readonly name: string
  /** `at` is this instance's monotonic time of the arrival. Throws if the body cannot be read, and stores nothing of it then. */
  receive (from: Reporter, body: Json, at: Millis): void
  /** All that is stored, for an instance that takes over. */
  exported (): Json
  /** Adds what another instance has stored. Throws if it cannot be read. */
  merge (exported: Json): void
}

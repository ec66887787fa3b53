import type { Incarnation, InstanceId, Json, Millis } from '@papayahill/common'

/** One process that sends or receives reports. */
export interface Reporter {
  readonly id: InstanceId
  readonly incarnation: Incarnation
}

/** Part of a report, for one receiver. */
export interface ReportBody {
  readonly body: Json
  /** Called once the receiver has stored it. */
  confirm (): void
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
  /** `at` is this instance's monotonic time of the arrival. */
  receive (from: Reporter, body: Json, at: Millis): void
  /** All that is stored, for an instance that takes over. */
  exported (): Json
  /** Adds what another instance has stored. */
  merge (exported: Json): void
}

import type { Millis, WorkspaceId } from '@papayahill/common'
import type { DutyCallResult, FencingToken, Permit } from '@papayahill/duties'
import type { HolderView } from '@papayahill/reports'

/** Number of requests that began to run, by workspace. */
export type UsageCounts = ReadonlyMap<WorkspaceId, number>

/** What is reported of one window. Window k begins k times the window's length after the Unix epoch. */
export interface UsageReport {
  readonly window: number
  readonly counts: UsageCounts
}

/** Sends reports to the platform. */
export interface UsageChannel {
  /** Calls `permit` right before the first byte. Repeats of one report have exactly the same content. */
  send (report: UsageReport, permit: Permit): Promise<DutyCallResult>
}

/** The lease of the duties; `DutyLease` of the package `duties` has this shape. */
export interface UsageLease extends HolderView {
  readonly isHeld: boolean
  permit (span: Millis): FencingToken | undefined
}

/** For operators. */
export interface UsageStatus {
  readonly isHolder: boolean
  /** Newest windows that were written to the store and accepted by the platform, as far as known here. */
  readonly newestWritten: number | undefined
  readonly newestAccepted: number | undefined
  /** Windows that have counts here and are not written yet. */
  readonly openWindows: number
  /** Requests that were counted too late for their window's report, since the start; known on the holder, three windows later. */
  readonly lateRequests: number
  /** Reports that this instance wrote before all live instances had reported, since the start. */
  readonly incompleteReports: number
  /** Reports of this instance that the platform accepted, and calls that failed, since the start. */
  readonly acceptedReports: number
  readonly failedCalls: number
}

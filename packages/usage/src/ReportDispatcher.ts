import { millis } from '@papayahill/common'
import type { Clock, EventLog, Millis } from '@papayahill/common'
import type { DutyCallResult } from '@papayahill/duties'
import { MAX_REFUSALS, SEND_RETRY } from './constants.js'
import { USAGE_EVENTS } from './events.js'
import type { StoredReports } from './StoredReports.js'
import type { UsageChannel, UsageLease, UsageReport } from './types.js'
import type { WrittenReports } from './WrittenReports.js'

export interface ReportDispatcherOptions {
  readonly clock: Clock
  readonly lease: UsageLease
  readonly channel: UsageChannel
  readonly stored: StoredReports
  readonly written: WrittenReports
  /** Longest time that a call may take until its last byte is sent. */
  readonly callSpan: Millis
  readonly log: EventLog
}

/** Sends the reports that are in the store, in order, each with the same content until the platform accepts it. */
export class ReportDispatcher {
  readonly #options: ReportDispatcherOptions
  /** Windows that were accepted, given up or cannot be read. */
  readonly #done = new Set<number>()
  readonly #refusals = new Map<number, number>()
  #isSending = false
  #notBefore = millis(0)
  acceptedReports = 0
  failedCalls = 0

  constructor (options: ReportDispatcherOptions) {
    this.#options = options
  }

  /** Sends what is to be sent; does nothing while an earlier call is under way. */
  async run (): Promise<void> {
    const { clock, lease } = this.#options
    if (this.#isSending || clock.now() < this.#notBefore) return
    this.#isSending = true
    try {
      for (const report of this.#pending()) if (!lease.isHeld || !await this.#send(report)) break
    } finally {
      this.#isSending = false
    }
  }

  #pending (): readonly UsageReport[] {
    const { stored, written } = this.#options
    const accepted = written.accepted ?? -1
    return stored.reports.flatMap(({ window, report }) =>
      report === undefined || window <= accepted || this.#done.has(window) ? [] : [report])
  }

  /** Whether the next report may be sent. */
  async #send (report: UsageReport): Promise<boolean> {
    const { clock, lease, channel, callSpan } = this.#options
    const result = await channel.send(report, () => lease.permit(callSpan))
    if (result.kind === 'accepted') {
      this.acceptedReports++
      this.#finish(report.window)
      return true
    }
    this.failedCalls++
    this.#notBefore = millis(clock.now() + this.#pauseAfter(result))
    return result.kind === 'refused' && this.#noteRefused(report.window, result.status)
  }

  #pauseAfter (result: Exclude<DutyCallResult, { readonly kind: 'accepted' }>): Millis {
    return result.kind === 'limited' ? result.retryAfter : SEND_RETRY
  }

  /** A refused report does not hold up later ones. */
  #noteRefused (window: number, status: number): boolean {
    const { log } = this.#options
    const refusals = (this.#refusals.get(window) ?? 0) + 1
    this.#refusals.set(window, refusals)
    log.emit(USAGE_EVENTS.reportRefused, { window, status, refusals })
    if (refusals >= MAX_REFUSALS) {
      log.emit(USAGE_EVENTS.reportGivenUp, { window })
      this.#finish(window)
    }
    return true
  }

  #finish (window: number): void {
    const { stored, written } = this.#options
    this.#done.add(window)
    this.#refusals.delete(window)
    const before = written.accepted ?? -1
    for (const { window: next, report } of stored.reports) {
      if (report !== undefined && next > before && !this.#done.has(next)) break
      written.noteAccepted(next)
    }
    for (const done of this.#done) if (done <= (written.accepted ?? -1)) this.#done.delete(done)
  }
}

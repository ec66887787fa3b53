import { millis } from '@papayahill/common'
import type { Clock, EpochMillis, Millis, WorkspaceId } from '@papayahill/common'
import type { DutyCallResult, Permit } from '@papayahill/duties'
import type { UsageChannel, UsageCounts, UsageReport } from '../types.js'

const ONE_WAY = millis(8)
const LOST_AFTER = millis(400)

export interface AcceptedReport {
  readonly counts: UsageCounts
  /** True time of its arrival. */
  readonly at: EpochMillis
}

const isSame = (one: UsageCounts, other: UsageCounts): boolean =>
  one.size === other.size && [...one].every(([workspace, count]) => other.get(workspace) === count)

/** The platform's side of usage reports, and the truth that they are compared with. */
export class UsagePlatform implements UsageChannel {
  readonly #clock: Clock
  readonly #length: Millis
  readonly accepted = new Map<number, AcceptedReport>()
  readonly truth = new Map<number, Map<WorkspaceId, number>>()
  /** Windows that were reported twice with different counts. */
  readonly contradicted = new Set<number>()
  /** Does not answer, and accepts nothing. */
  isDown = false
  /** Number of the next calls that are carried out, but whose answers are lost. */
  lostAnswers = 0
  repeats = 0

  constructor (clock: Clock, length: Millis) {
    this.#clock = clock
    this.#length = length
  }

  /** Counts a request at this moment of true time. */
  noteRequest (workspace: WorkspaceId): void {
    const window = Math.floor(this.#clock.wall() / this.#length)
    const counts = this.truth.get(window) ?? new Map<WorkspaceId, number>()
    this.truth.set(window, counts)
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1)
  }

  async send (report: UsageReport, permit: Permit): Promise<DutyCallResult> {
    if (permit() === undefined) return { kind: 'unsent', detail: 'the lease is about to end' }
    await this.#clock.sleep(ONE_WAY)
    const isLost = this.isDown || this.lostAnswers > 0
    if (!this.isDown) this.#accept(report)
    if (!isLost) {
      await this.#clock.sleep(ONE_WAY)
      return { kind: 'accepted' }
    }
    if (!this.isDown) this.lostAnswers--
    await this.#clock.sleep(LOST_AFTER)
    return { kind: 'unknown', detail: 'no answer' }
  }

  #accept ({ window, counts }: UsageReport): void {
    const known = this.accepted.get(window)
    if (known === undefined) this.accepted.set(window, { counts: new Map(counts), at: this.#clock.wall() })
    else if (isSame(known.counts, counts)) this.repeats++
    else this.contradicted.add(window)
  }
}

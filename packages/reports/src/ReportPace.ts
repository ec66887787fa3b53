import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { MAX_PERIOD, MAX_REPLIES_PER_SECOND, MIN_PERIOD, REPORT_BYTES_PER_SECOND, REPORT_PERIOD, REPORTS_PER_RECEIVER, SIZE_WEIGHT } from './constants.js'

/**
 * How often an instance reports. What it has not reported yet is lost when it dies, so it reports as often as its bytes and the
 * receivers allow: the period follows the size of its reports, and is longer the more instances there are.
 *
 * @example
 * pace.note(140)
 * pace.period(60)
 */
export class ReportPace {
  /** Mean bytes of one report to all receivers. */
  #size: number | undefined

  /** Records the bytes of one report to all receivers. */
  note (size: number): void {
    this.#size = this.#size === undefined ? size : this.#size + (size - this.#size) * SIZE_WEIGHT
  }

  /** Time between two reports in a deployment of so many instances. */
  period (instances: number): Millis {
    const shortest = Math.max(MIN_PERIOD, instances / REPORTS_PER_RECEIVER * MILLIS_PER_SECOND)
    const paid = this.#size === undefined ? REPORT_PERIOD : this.#size / REPORT_BYTES_PER_SECOND * MILLIS_PER_SECOND
    return millis(Math.max(shortest, Math.min(MAX_PERIOD, paid)))
  }

  /** Number of reports out of which one asks for a reply. */
  reportsPerReply (instances: number): number {
    return Math.ceil(instances * MILLIS_PER_SECOND / this.period(instances) / MAX_REPLIES_PER_SECOND)
  }
}

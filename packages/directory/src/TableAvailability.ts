import { millis } from '@papayahill/common'
import type { Clock, EventLog, Millis, Random } from '@papayahill/common'
import { LAPSE_GRACE, MIN_POLL_RETRY } from './constants.js'
import { DIRECTORY_EVENTS } from './events.js'

export interface TableAvailabilityOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly table: string
}

const NO_OUTAGE = millis(0)

/**
 * Whether a table can be read from the store: tracks outages and their lengths, and the backoff between failed polls.
 *
 * @example
 * availability.lost('it answered 503', revision, answeredAt)
 * await availability.pause(MAX_POLL_RETRY)
 */
export class TableAvailability {
  readonly #options: TableAvailabilityOptions
  #retry: Millis = MIN_POLL_RETRY
  #lostAt: Millis | undefined
  #outage: Millis = NO_OUTAGE
  #outageEnd: Millis | undefined

  constructor (options: TableAvailabilityOptions) {
    this.#options = options
  }

  /** Length of an outage that ended so recently that entries of live endpoints may still be missing; 0 if there was none. */
  get recentOutage (): Millis {
    const isRecent = this.#outageEnd !== undefined && this.#options.clock.now() - this.#outageEnd < LAPSE_GRACE
    return isRecent ? this.#outage : NO_OUTAGE
  }

  /** Records a failed poll; the outage counts from the last answer before it. */
  lost (detail: string, revision: number | undefined, answeredAt: Millis | undefined): void {
    const { clock, log, table } = this.#options
    if (this.#lostAt !== undefined) return
    this.#lostAt = answeredAt ?? clock.now()
    log.emit(DIRECTORY_EVENTS.tableLost, { table, revision, detail })
  }

  /** Records an answered poll; returns the length of the outage that ends with it, or 0. */
  regained (): Millis {
    const { clock, log, table } = this.#options
    const now = clock.now()
    this.#retry = MIN_POLL_RETRY
    if (this.#lostAt === undefined) return NO_OUTAGE
    this.#outage = millis(now - this.#lostAt)
    this.#outageEnd = now
    this.#lostAt = undefined
    log.emit(DIRECTORY_EVENTS.tableRegained, { table, outageMs: this.#outage })
    return this.#outage
  }

  /** Waits before the next poll after a failed one: exponential backoff with jitter, up to `longest`. */
  async pause (longest: Millis): Promise<void> {
    const { clock, random } = this.#options
    const wait = millis(this.#retry * (1 + random.next()) / 2)
    this.#retry = millis(Math.min(longest, this.#retry * 2))
    await clock.sleep(wait)
  }
}

import { millis } from '@papayahill/common'
import type { Clock, EventLog, Millis, Random } from '@papayahill/common'
import { LAPSE_GRACE, MIN_WATCH_RETRY } from './constants.js'
import { DIRECTORY_EVENTS } from './events.js'

export interface TableReachOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly table: string
}

const NO_OUTAGE = millis(0)

/**
 * Whether a table can be read in the store: outages with their lengths, and the pauses between failed looks.
 *
 * @example
 * reach.lost('it answered 503', revision, answeredAt)
 * await reach.pause(MAX_WATCH_RETRY)
 */
export class TableReach {
  readonly #options: TableReachOptions
  #retry: Millis = MIN_WATCH_RETRY
  #lostAt: Millis | undefined
  #outage: Millis = NO_OUTAGE
  #outageEnd: Millis | undefined

  constructor (options: TableReachOptions) {
    this.#options = options
  }

  /** Length of an outage that ended so recently that entries of living endpoints may still be missing; 0 where none did. */
  get recentOutage (): Millis {
    const isRecent = this.#outageEnd !== undefined && this.#options.clock.now() - this.#outageEnd < LAPSE_GRACE
    return isRecent ? this.#outage : NO_OUTAGE
  }

  /** A look failed; an outage counts from the last answer before it. */
  lost (detail: string, revision: number | undefined, answeredAt: Millis | undefined): void {
    const { clock, log, table } = this.#options
    if (this.#lostAt !== undefined) return
    this.#lostAt = answeredAt ?? clock.now()
    log.emit(DIRECTORY_EVENTS.tableLost, { table, revision, detail })
  }

  /** A look was answered; the length of the outage that ends with it. */
  regained (): Millis {
    const { clock, log, table } = this.#options
    const now = clock.now()
    this.#retry = MIN_WATCH_RETRY
    if (this.#lostAt === undefined) return NO_OUTAGE
    this.#outage = millis(now - this.#lostAt)
    this.#outageEnd = now
    this.#lostAt = undefined
    log.emit(DIRECTORY_EVENTS.tableRegained, { table, outageMs: this.#outage })
    return this.#outage
  }

  /** Waits before the next look after a failed one, each time longer, up to a bound. */
  async pause (most: Millis): Promise<void> {
    const { clock, random } = this.#options
    const wait = millis(this.#retry * (1 + random.next()) / 2)
    this.#retry = millis(Math.min(most, this.#retry * 2))
    await clock.sleep(wait)
  }
}

import { millis, SILENT_LOG } from '@papayahill/common'
import type { Clock, EventLog, Millis, Random } from '@papayahill/common'
import type { Commit, Row, RowKey, StoreError, TableService, Transaction } from '@papayahill/stores'
import { Result } from 'true-myth'
import {
  MAX_BACKOFF, MAX_BUDGET_WAIT, MIN_BACKOFF, MIN_READS_PER_SECOND, MIN_WRITES_PER_SECOND, OUTAGE_AFTER, READ_BURST, READS_PER_SECOND,
  WRITE_BURST, WRITES_PER_SECOND
} from './constants.js'
import { CONTROL_EVENTS } from './events.js'
import { TokenBucket } from './TokenBucket.js'

export interface MeteredTableOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly random: Random
  /** Instances that share the store's budget. */
  readonly members?: () => number
  readonly log?: EventLog
}

/** What one instance has asked of the store since its start. */
export interface StoreTraffic {
  readonly reads: number
  readonly writes: number
  /** Calls that were not made, because of the budget or an outage. */
  readonly held: number
  readonly failed: number
}

type Answer<Value> = Result<Value, StoreError>

/**
 * One instance's way to the table service: counts reads and writes, keeps both within the instance's
 * share, and in an outage tries rarely and at random times, so that instances do not come back in a herd.
 *
 * @example
 * const table = new MeteredTable({ table: client, clock, random, log })
 * table.traffic() // { reads: 81, writes: 3, held: 0, failed: 0 }
 */
export class MeteredTable implements TableService {
  readonly #options: MeteredTableOptions
  readonly #log: EventLog
  readonly #readBucket: TokenBucket
  readonly #writeBucket: TokenBucket
  #reads = 0
  #writes = 0
  #held = 0
  #failed = 0
  #failedInRow = 0
  #nextTry: Millis = millis(0)

  constructor (options: MeteredTableOptions) {
    this.#options = options
    this.#log = options.log ?? SILENT_LOG
    const { clock, members } = options
    const share = (ofAll: number, least: number): number => Math.max(least, ofAll / Math.max(1, members?.() ?? 1))
    this.#readBucket = new TokenBucket({ clock, perSecond: () => share(READS_PER_SECOND, MIN_READS_PER_SECOND), burst: READ_BURST })
    this.#writeBucket = new TokenBucket({ clock, perSecond: () => share(WRITES_PER_SECOND, MIN_WRITES_PER_SECOND), burst: WRITE_BURST })
  }

  async read (keys: readonly RowKey[]): Promise<Answer<readonly Row[]>> {
    return await this.#spend(this.#readBucket, () => {
      this.#reads++
      return this.#options.table.read(keys)
    })
  }

  async scan (prefix: string, after: RowKey | undefined, limit: number): Promise<Answer<readonly Row[]>> {
    return await this.#spend(this.#readBucket, () => {
      this.#reads++
      return this.#options.table.scan(prefix, after, limit)
    })
  }

  async commit (transaction: Transaction): Promise<Answer<Commit>> {
    return await this.#spend(this.#writeBucket, () => {
      this.#writes++
      return this.#options.table.commit(transaction)
    })
  }

  traffic (): StoreTraffic {
    return { reads: this.#reads, writes: this.#writes, held: this.#held, failed: this.#failed }
  }

  async #spend<Value> (bucket: TokenBucket, call: () => Promise<Answer<Value>>): Promise<Answer<Value>> {
    const pause = this.#untilNextTry()
    if (pause > 0) return this.#hold('the store does not answer', pause)
    const wait = bucket.take()
    if (wait > MAX_BUDGET_WAIT) {
      bucket.giveBack()
      this.#log.emit(CONTROL_EVENTS.overBudget, { wait })
      return this.#hold('this instance used up its share of the store', wait)
    }
    if (wait > 0) await this.#options.clock.sleep(wait)
    const answer = await call()
    this.#note(answer.isErr && answer.error.kind !== 'conflict')
    return answer
  }

  #untilNextTry (): Millis {
    const { clock } = this.#options
    if (this.#failedInRow < OUTAGE_AFTER) return millis(0)
    const pause = millis(Math.max(0, this.#nextTry - clock.now()))
    // The first call after the pause goes through; those behind it wait for what it finds.
    if (pause === 0) this.#pauseFor()
    return pause
  }

  #note (isFailed: boolean): void {
    if (!isFailed) {
      if (this.#failedInRow >= OUTAGE_AFTER) this.#log.emit(CONTROL_EVENTS.storeBack)
      this.#failedInRow = 0
      return
    }
    this.#failed++
    this.#failedInRow++
    if (this.#failedInRow === OUTAGE_AFTER) this.#log.emit(CONTROL_EVENTS.storeOutage)
    if (this.#failedInRow >= OUTAGE_AFTER) this.#pauseFor()
  }

  /** Full jitter: anywhere between the shortest pause and a bound that doubles. */
  #pauseFor (): void {
    const { clock, random } = this.#options
    const bound = Math.min(MAX_BACKOFF, MIN_BACKOFF * 2 ** (this.#failedInRow - OUTAGE_AFTER))
    this.#nextTry = millis(clock.now() + MIN_BACKOFF + random.next() * (bound - MIN_BACKOFF))
  }

  #hold<Value> (detail: string, retryAfter: Millis): Answer<Value> {
    this.#held++
    return Result.err({ kind: 'unavailable', detail, retryAfter })
  }
}

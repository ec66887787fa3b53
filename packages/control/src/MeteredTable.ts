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

/** Calls from one instance to the store since its start. */
export interface StoreTraffic {
  readonly reads: number
  readonly writes: number
  /** Calls rejected without reaching the store, because of the budget or an outage. */
  readonly rejected: number
  readonly failed: number
}

type Answer<Value> = Result<Value, StoreError>

/**
 * Table service client of one instance that counts reads and writes and limits both to the instance's share. During an
 * outage it backs off with jitter, so that the instances do not retry all at once.
 *
 * @example
 * const table = new MeteredTable({ table: client, clock, random, log })
 * table.traffic() // { reads: 81, writes: 3, rejected: 0, failed: 0 }
 */
export class MeteredTable implements TableService {
  readonly #options: MeteredTableOptions
  readonly #log: EventLog
  readonly #readBucket: TokenBucket
  readonly #writeBucket: TokenBucket
  #reads = 0
  #writes = 0
  #rejected = 0
  #failed = 0
  #consecutiveFailures = 0
  #nextTry: Millis = millis(0)

  constructor (options: MeteredTableOptions) {
    this.#options = options
    this.#log = options.log ?? SILENT_LOG
    const { clock, members } = options
    const share = (total: number, minimum: number): number => Math.max(minimum, total / Math.max(1, members?.() ?? 1))
    this.#readBucket = new TokenBucket({ clock, perSecond: () => share(READS_PER_SECOND, MIN_READS_PER_SECOND), burst: READ_BURST })
    this.#writeBucket = new TokenBucket({ clock, perSecond: () => share(WRITES_PER_SECOND, MIN_WRITES_PER_SECOND), burst: WRITE_BURST })
  }

  async read (keys: readonly RowKey[]): Promise<Answer<readonly Row[]>> {
    return await this.#callWithinBudget(this.#readBucket, () => {
      this.#reads++
      return this.#options.table.read(keys)
    })
  }

  async scan (prefix: string, after: RowKey | undefined, limit: number): Promise<Answer<readonly Row[]>> {
    return await this.#callWithinBudget(this.#readBucket, () => {
      this.#reads++
      return this.#options.table.scan(prefix, after, limit)
    })
  }

  async commit (transaction: Transaction): Promise<Answer<Commit>> {
    return await this.#callWithinBudget(this.#writeBucket, () => {
      this.#writes++
      return this.#options.table.commit(transaction)
    })
  }

  traffic (): StoreTraffic {
    return { reads: this.#reads, writes: this.#writes, rejected: this.#rejected, failed: this.#failed }
  }

  async #callWithinBudget<Value> (bucket: TokenBucket, call: () => Promise<Answer<Value>>): Promise<Answer<Value>> {
    const pause = this.#remainingBackoff()
    if (pause > 0) return this.#reject('the store is not responding', pause)
    const wait = bucket.take()
    if (wait > MAX_BUDGET_WAIT) {
      bucket.refund()
      this.#log.emit(CONTROL_EVENTS.overBudget, { wait })
      return this.#reject('this instance has exhausted its share of the store budget', wait)
    }
    if (wait > 0) await this.#options.clock.sleep(wait)
    const answer = await call()
    this.#recordResult(answer.isErr && answer.error.kind !== 'conflict')
    return answer
  }

  #remainingBackoff (): Millis {
    const { clock } = this.#options
    if (this.#consecutiveFailures < OUTAGE_AFTER) return millis(0)
    const pause = millis(Math.max(0, this.#nextTry - clock.now()))
    // Lets the first call after the backoff through; later ones are rejected until its result is known.
    if (pause === 0) this.#scheduleNextTry()
    return pause
  }

  #recordResult (isFailed: boolean): void {
    if (!isFailed) {
      if (this.#consecutiveFailures >= OUTAGE_AFTER) this.#log.emit(CONTROL_EVENTS.storeBack)
      this.#consecutiveFailures = 0
      return
    }
    this.#failed++
    this.#consecutiveFailures++
    if (this.#consecutiveFailures === OUTAGE_AFTER) this.#log.emit(CONTROL_EVENTS.storeOutage)
    if (this.#consecutiveFailures >= OUTAGE_AFTER) this.#scheduleNextTry()
  }

  /** Exponential backoff with full jitter between the minimum and a bound that doubles with each failure. */
  #scheduleNextTry (): void {
    const { clock, random } = this.#options
    const bound = Math.min(MAX_BACKOFF, MIN_BACKOFF * 2 ** (this.#consecutiveFailures - OUTAGE_AFTER))
    this.#nextTry = millis(clock.now() + MIN_BACKOFF + random.next() * (bound - MIN_BACKOFF))
  }

  #reject<Value> (detail: string, retryAfter: Millis): Answer<Value> {
    this.#rejected++
    return Result.err({ kind: 'unavailable', detail, retryAfter })
  }
}

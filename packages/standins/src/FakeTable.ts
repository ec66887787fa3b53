import { millis } from '@papayahill/common'
import type { Clock, Json, Millis, Random } from '@papayahill/common'
import type { Commit, Row, RowCondition, RowKey, StoreError, TableService, Transaction } from '@papayahill/stores'
import { Result } from 'true-myth'

/** Injected faults of a store; may be changed while it runs. */
export interface StoreFaults {
  /** Every call fails as unavailable, without effect. */
  isDown: boolean
  /** Share of commits that take effect but whose answer is lost. */
  lostAnswerShare: number
  /** Duration of each call. */
  latency: Millis
}

export const noStoreFaults = (): StoreFaults => ({ isDown: false, lostAnswerShare: 0, latency: millis(3) })

const DOWN: StoreError = { kind: 'unavailable', detail: 'the store is down' }

/**
 * A table service in memory, with injected faults. Reads are linearizable: the value is read
 * between the call and its answer.
 *
 * @example
 * const table = new FakeTable(clock, random)
 * table.faults.isDown = true
 */
export class FakeTable implements TableService {
  readonly faults: StoreFaults = noStoreFaults()
  readonly #clock: Clock
  readonly #random: Random
  readonly #rows = new Map<RowKey, Row>()
  #reads = 0
  #writes = 0

  constructor (clock: Clock, random: Random) {
    this.#clock = clock
    this.#random = random
  }

  get reads (): number {
    return this.#reads
  }

  get writes (): number {
    return this.#writes
  }

  async read (keys: readonly RowKey[]): Promise<Result<readonly Row[], StoreError>> {
    this.#reads++
    await this.#sleepHalfLatency()
    if (this.faults.isDown) return Result.err(DOWN)
    const rows = keys.map((key) => this.#row(key))
    await this.#sleepHalfLatency()
    return Result.ok(rows)
  }

  async scan (prefix: string, after: RowKey | undefined, limit: number): Promise<Result<readonly Row[], StoreError>> {
    this.#reads++
    await this.#sleepHalfLatency()
    if (this.faults.isDown) return Result.err(DOWN)
    const keys = [...this.#rows.keys()].filter((key) => key.startsWith(prefix) && (after === undefined || key > after))
    const rows = keys.sort().slice(0, limit).map((key) => this.#row(key))
    await this.#sleepHalfLatency()
    return Result.ok(rows)
  }

  async commit (transaction: Transaction): Promise<Result<Commit, StoreError>> {
    this.#writes++
    await this.#sleepHalfLatency()
    if (this.faults.isDown) return Result.err(DOWN)
    const failed = transaction.conditions.filter((condition) => !this.#isSatisfied(condition))
    if (failed.length > 0) return await this.#conflict(failed)
    const rows = transaction.writes.map((write) => this.#write(write.key, write.value))
    const isLost = this.#random.next() < this.faults.lostAnswerShare
    await this.#sleepHalfLatency()
    if (isLost) return Result.err({ kind: 'unknown', detail: 'the answer was lost' })
    return Result.ok({ rows })
  }

  /** Copies all rows, for a later {@link FakeTable.restore}. */
  backup (): ReadonlyMap<RowKey, Row> {
    return new Map(this.#rows)
  }

  /** Resets the table to an older state, as when an operator restores a backup. */
  restore (backup: ReadonlyMap<RowKey, Row>): void {
    this.#rows.clear()
    for (const [key, row] of backup) this.#rows.set(key, row)
  }

  async #conflict (failed: readonly RowCondition[]): Promise<Result<Commit, StoreError>> {
    const rows = failed.map((condition) => this.#row(condition.key))
    await this.#sleepHalfLatency()
    return Result.err({ kind: 'conflict', rows })
  }

  #sleepHalfLatency (): Promise<void> {
    return this.#clock.sleep(millis(this.faults.latency / 2))
  }

  #row (key: RowKey): Row {
    return this.#rows.get(key) ?? { key, version: 0, value: null }
  }

  #isSatisfied (condition: RowCondition): boolean {
    return this.#row(condition.key).version === condition.version
  }

  #write (key: RowKey, value: Json): Row {
    const row = { key, version: this.#row(key).version + 1, value }
    if (value === null) this.#rows.delete(key)
    else this.#rows.set(key, row)
    return row
  }
}

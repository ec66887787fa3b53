import { millis } from '@papayahill/common'
import type { Clock, Json } from '@papayahill/common'
import type { Row, RowCondition, RowKey, RowWrite, StoreError, TableService } from '@papayahill/stores'
import PQueue from 'p-queue'
import { Result } from 'true-myth'
import { BATCH_WINDOW, MAX_BATCH, MAX_COMMITS, MAX_READ } from './constants.js'

/** A conditional write, and further writes in the same transaction. */
export interface GroupedWrite {
  readonly key: RowKey
  readonly version: number
  readonly value: Json
  readonly extraWrites?: readonly RowWrite[]
}

/** The row's new version, or the error. */
export type GroupedAnswer = Result<number, StoreError>

interface PendingWrite {
  readonly write: GroupedWrite
  readonly resolve: (answer: GroupedAnswer) => void
}

interface PendingRead {
  readonly key: RowKey
  readonly resolve: (answer: Result<Row, StoreError>) => void
}

export interface GroupCommitOptions {
  readonly clock: Clock
  readonly table: TableService
  /** Writes to add to a transaction, such as an index of the keys that it claims. */
  readonly extraWritesFor?: (writes: readonly GroupedWrite[]) => readonly RowWrite[]
}

/**
 * Batches one instance's reads and conditional writes into few calls to the store. Each write still succeeds
 * or fails on its own: conflicting writes are removed from the transaction and the others are retried.
 */
export class GroupCommit {
  readonly #options: GroupCommitOptions
  readonly #commits = new PQueue({ concurrency: MAX_COMMITS })
  #writes: PendingWrite[] = []
  #reads: PendingRead[] = []

  constructor (options: GroupCommitOptions) {
    this.#options = options
  }

  write (write: GroupedWrite): Promise<GroupedAnswer> {
    return new Promise((resolve) => {
      this.#writes.push({ write, resolve })
      if (this.#writes.length === 1) this.#options.clock.after(BATCH_WINDOW, () => this.#flushWrites())
    })
  }

  read (key: RowKey): Promise<Result<Row, StoreError>> {
    return new Promise((resolve) => {
      this.#reads.push({ key, resolve })
      if (this.#reads.length === 1) this.#options.clock.after(millis(BATCH_WINDOW / 2), () => { void this.#flushReads() })
    })
  }

  async #flushReads (): Promise<void> {
    const waiting = this.#reads
    this.#reads = []
    const keys = [...new Set(waiting.map((read) => read.key))]
    for (let start = 0; start < keys.length; start += MAX_READ) {
      const page = keys.slice(start, start + MAX_READ)
      await this.#readPage(page, waiting.filter((read) => page.includes(read.key)))
    }
  }

  async #readPage (keys: readonly RowKey[], waiting: readonly PendingRead[]): Promise<void> {
    const answer = await this.#options.table.read(keys)
    for (const { key, resolve } of waiting) {
      resolve(answer.andThen((rows): Result<Row, StoreError> => {
        const row = rows.find((one) => one.key === key)
        return row === undefined ? Result.err({ kind: 'unknown', detail: 'the row is missing in the answer' }) : Result.ok(row)
      }))
    }
  }

  /** Queues a transaction. Its writes are chosen when it starts, so that a slow store gets larger batches. */
  #flushWrites (): void {
    void this.#commits.add(async () => {
      const batch = this.#takeBatch()
      if (this.#writes.length > 0) this.#flushWrites()
      if (batch.length > 0) await this.#commit(batch)
    })
  }

  /** Removes the oldest writes from the queue, at most one per key. */
  #takeBatch (): readonly PendingWrite[] {
    const keys = new Set<RowKey>()
    const batch: PendingWrite[] = []
    const rest: PendingWrite[] = []
    for (const one of this.#writes) {
      const isTaken = batch.length < MAX_BATCH && !keys.has(one.write.key)
      keys.add(one.write.key)
      if (isTaken) batch.push(one)
      else rest.push(one)
    }
    this.#writes = rest
    return batch
  }

  async #commit (batch: readonly PendingWrite[]): Promise<void> {
    const writes = batch.map((one) => one.write)
    const answer = await this.#options.table.commit({
      conditions: writes.map(({ key, version }): RowCondition => ({ key, version })),
      writes: [
        ...writes.map(({ key, value }): RowWrite => ({ key, value })),
        ...writes.flatMap((write) => write.extraWrites ?? []),
        ...this.#options.extraWritesFor?.(writes) ?? []
      ]
    })
    if (answer.isErr && answer.error.kind === 'conflict') return await this.#retryWithoutConflicts(batch, answer.error.rows)
    for (const { write, resolve } of batch) {
      resolve(answer.map((commit) => commit.rows.find((row) => row.key === write.key)?.version ?? write.version + 1))
    }
  }

  async #retryWithoutConflicts (batch: readonly PendingWrite[], rows: readonly Row[]): Promise<void> {
    const isConflicting = (one: PendingWrite): boolean => rows.some((row) => row.key === one.write.key)
    for (const { write, resolve } of batch.filter(isConflicting)) {
      resolve(Result.err({ kind: 'conflict', rows: rows.filter((row) => row.key === write.key) }))
    }
    const rest = batch.filter((one) => !isConflicting(one))
    if (rest.length > 0) await this.#commit(rest)
  }
}

import { millis } from '@papayahill/common'
import type { Clock, Json } from '@papayahill/common'
import type { Row, RowCondition, RowKey, RowWrite, StoreError, TableService } from '@papayahill/stores'
import PQueue from 'p-queue'
import { Result } from 'true-myth'
import { GATHER_WINDOW, MAX_BATCH, MAX_COMMITS, MAX_READ } from './constants.js'

/** One conditional write, and rows that are written in the same transaction. */
export interface GroupedWrite {
  readonly key: RowKey
  readonly version: number
  readonly value: Json
  readonly beside?: readonly RowWrite[]
}

/** The row's new version, or why nothing was written. */
export type GroupedAnswer = Result<number, StoreError>

interface Waiting {
  readonly write: GroupedWrite
  readonly resolve: (answer: GroupedAnswer) => void
}

interface WaitingRead {
  readonly key: RowKey
  readonly resolve: (answer: Result<Row, StoreError>) => void
}

export interface GroupCommitOptions {
  readonly clock: Clock
  readonly table: TableService
  /** Rows to add to a transaction, such as an index of the keys that it claims. */
  readonly beside?: (writes: readonly GroupedWrite[]) => readonly RowWrite[]
}

/**
 * Gathers one instance's reads and conditional writes into few calls to the store. Each write still
 * succeeds or fails alone: one that conflicts is taken out and the others are tried again.
 */
export class GroupCommit {
  readonly #options: GroupCommitOptions
  readonly #commits = new PQueue({ concurrency: MAX_COMMITS })
  #writes: Waiting[] = []
  #reads: WaitingRead[] = []

  constructor (options: GroupCommitOptions) {
    this.#options = options
  }

  write (write: GroupedWrite): Promise<GroupedAnswer> {
    return new Promise((resolve) => {
      this.#writes.push({ write, resolve })
      if (this.#writes.length === 1) this.#options.clock.after(GATHER_WINDOW, () => this.#flushWrites())
    })
  }

  read (key: RowKey): Promise<Result<Row, StoreError>> {
    return new Promise((resolve) => {
      this.#reads.push({ key, resolve })
      if (this.#reads.length === 1) this.#options.clock.after(millis(GATHER_WINDOW / 2), () => { void this.#flushReads() })
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

  async #readPage (keys: readonly RowKey[], waiting: readonly WaitingRead[]): Promise<void> {
    const answer = await this.#options.table.read(keys)
    for (const { key, resolve } of waiting) {
      resolve(answer.andThen((rows): Result<Row, StoreError> => {
        const row = rows.find((one) => one.key === key)
        return row === undefined ? Result.err({ kind: 'unknown', detail: 'the row is missing in the answer' }) : Result.ok(row)
      }))
    }
  }

  /** Queues one transaction; what it writes is taken when its turn comes, so that a slow store gets larger ones. */
  #flushWrites (): void {
    void this.#commits.add(async () => {
      const batch = this.#takeBatch()
      if (this.#writes.length > 0) this.#flushWrites()
      if (batch.length > 0) await this.#commit(batch)
    })
  }

  /** The oldest waiting writes, no key twice; the others go on waiting. */
  #takeBatch (): readonly Waiting[] {
    const keys = new Set<RowKey>()
    const batch: Waiting[] = []
    const rest: Waiting[] = []
    for (const one of this.#writes) {
      const isTaken = batch.length < MAX_BATCH && !keys.has(one.write.key)
      keys.add(one.write.key)
      if (isTaken) batch.push(one)
      else rest.push(one)
    }
    this.#writes = rest
    return batch
  }

  async #commit (batch: readonly Waiting[]): Promise<void> {
    const writes = batch.map((one) => one.write)
    const answer = await this.#options.table.commit({
      conditions: writes.map(({ key, version }): RowCondition => ({ key, version })),
      writes: [
        ...writes.map(({ key, value }): RowWrite => ({ key, value })),
        ...writes.flatMap((write) => write.beside ?? []),
        ...this.#options.beside?.(writes) ?? []
      ]
    })
    if (answer.isErr && answer.error.kind === 'conflict') return await this.#splitConflict(batch, answer.error.rows)
    for (const { write, resolve } of batch) {
      resolve(answer.map((commit) => commit.rows.find((row) => row.key === write.key)?.version ?? write.version + 1))
    }
  }

  async #splitConflict (batch: readonly Waiting[], rows: readonly Row[]): Promise<void> {
    const lost = (one: Waiting): boolean => rows.some((row) => row.key === one.write.key)
    for (const { write, resolve } of batch.filter(lost)) {
      resolve(Result.err({ kind: 'conflict', rows: rows.filter((row) => row.key === write.key) }))
    }
    const rest = batch.filter((one) => !lost(one))
    if (rest.length > 0) await this.#commit(rest)
  }
}

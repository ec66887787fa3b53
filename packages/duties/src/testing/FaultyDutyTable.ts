import { millis } from '@papayahill/common'
import type { Clock, InstanceId, Millis } from '@papayahill/common'
import type { TableError } from '@papayahill/directory'
import { Result } from 'true-myth'
import type { DutyCommit, DutyCommitted, DutyRow, DutyRows, DutyTable } from '../types.js'

const CALL_TIME = millis(5)
const CALL_TIMEOUT = millis(700)

/** All rows at one moment, to be restored later. */
export interface DutyTableCopy {
  readonly rows: ReadonlyMap<string, DutyRow>
  readonly revision: number
}

export interface FaultyDutyTableOptions {
  readonly clock: Clock
  /** Whether the store names its era in answers; without it, the era is always 0 and revisions are given out again. */
  readonly namesEra?: boolean
  /**
   * Whether the era is one of a commit's conditions. Without it, revisions alone are compared, and a write that was meant for
   * another era may be made; its answer is an error, since it does not count as done.
   */
  readonly checksEra?: boolean
}

const unavailable = <Value>(detail: string): Result<Value, TableError> => Result.err({ kind: 'unavailable', detail })

/**
 * An in-memory duties' table in virtual time, with the faults of a store. Each instance has its own view of it.
 *
 * @example
 * const store = new FaultyDutyTable({ clock })
 * const table = store.viewFor(brand<InstanceId>('i1'))
 * store.lostAnswers = 1
 * await table.commit({ era: 0, expected: [{ key: 'a', revision: 0 }], writes: [{ key: 'a', value: 1 }] })
 */
export class FaultyDutyTable {
  /** Answers each call with an error, and makes no changes. */
  isDown = false
  /** Time from the start of a call to its answer; calls longer than `timeout` end in an error at the timeout. */
  latency: Millis = CALL_TIME
  timeout: Millis = CALL_TIMEOUT
  /** Number of the next calls that are carried out, but whose answers are lost. */
  lostAnswers = 0
  /** Number of the next commits that get no answer and are applied `lateBy` after their start, if their conditions hold then. */
  lateCommits = 0
  lateBy: Millis = millis(2000)
  /** Number of calls and commits so far. */
  calls = 0
  commits = 0
  readonly #clock: Clock
  readonly #namesEra: boolean
  readonly #checksEra: boolean
  readonly #refused = new Set<InstanceId>()
  /** Instances that have not yet been told that the history is gone. */
  readonly #untold = new Set<InstanceId>()
  readonly #known = new Set<InstanceId>()
  #rows = new Map<string, DutyRow>()
  #revision = 0
  #era = 0

  constructor ({ clock, namesEra = true, checksEra = true }: FaultyDutyTableOptions) {
    this.#clock = clock
    this.#namesEra = namesEra
    this.#checksEra = checksEra
  }

  get era (): number {
    return this.#namesEra ? this.#era : 0
  }

  get rows (): readonly DutyRow[] {
    return [...this.#rows.values()]
  }

  row (key: string): DutyRow {
    return this.#rows.get(key) ?? { key, value: undefined, revision: 0 }
  }

  /** Refuses all calls of an instance, as during a partition between it and the store. */
  refuse (id: InstanceId): void {
    this.#refused.add(id)
  }

  admit (id: InstanceId): void {
    this.#refused.delete(id)
  }

  /** The next read of each instance is answered with `history-gone`; the rows stay. */
  forgetHistory (): void {
    for (const id of this.#known) this.#untold.add(id)
  }

  copy (): DutyTableCopy {
    return { rows: new Map(this.#rows), revision: this.#revision }
  }

  /** Comes back from an older copy, or empty without one: later changes are gone, and a new era begins. */
  restore (copy: DutyTableCopy = { rows: new Map(), revision: 0 }): void {
    this.#rows = new Map(copy.rows)
    this.#revision = copy.revision
    this.#era++
  }

  viewFor (id: InstanceId): DutyTable {
    this.#known.add(id)
    return {
      read: () => this.#call(id, () => this.#read(id)),
      commit: (change) => {
        this.commits++
        return this.lateCommits > 0 ? this.#commitLate(id, change) : this.#call(id, () => this.#commit(change))
      }
    }
  }

  /** The change is made half way between the start of a call and its answer. */
  async #call<Value> (id: InstanceId, run: () => Result<Value, TableError>): Promise<Result<Value, TableError>> {
    this.calls++
    const { latency, timeout } = this
    await this.#clock.sleep(millis(Math.min(latency / 2, timeout)))
    if (this.isDown || this.#refused.has(id)) return unavailable('the store refuses calls')
    const isLost = this.lostAnswers > 0
    if (isLost) this.lostAnswers--
    const result = run()
    if (!isLost && latency <= timeout) {
      await this.#clock.sleep(millis(latency / 2))
      return result
    }
    await this.#clock.sleep(millis(Math.max(0, timeout - latency / 2)))
    return unavailable('no answer in time')
  }

  async #commitLate (id: InstanceId, change: DutyCommit): Promise<Result<DutyCommitted, TableError>> {
    this.calls++
    this.lateCommits--
    this.#clock.after(this.lateBy, () => { if (!this.#refused.has(id)) this.#commit(change) })
    await this.#clock.sleep(this.timeout)
    return unavailable('no answer in time')
  }

  #read (id: InstanceId): Result<DutyRows, TableError> {
    if (this.#untold.delete(id)) return Result.err({ kind: 'history-gone', detail: 'forgotten' })
    return Result.ok({ era: this.era, rows: this.rows })
  }

  #commit ({ era, expected, writes, removals = [] }: DutyCommit): Result<DutyCommitted, TableError> {
    const isOfEra = era === this.era
    const holds = (isOfEra || !this.#checksEra) && expected.every(({ key, revision }) => this.row(key).revision === revision)
    if (!holds) return Result.ok({ kind: 'conflict', rows: expected.map(({ key }) => this.row(key)) })
    const revision = ++this.#revision
    for (const { key, value } of writes) this.#rows.set(key, { key, value, revision })
    for (const key of removals) this.#rows.delete(key)
    return isOfEra ? Result.ok({ kind: 'committed', revision }) : unavailable('the answer is of another era')
  }
}

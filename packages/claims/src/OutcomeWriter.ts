import { millis } from '@papayahill/common'
import type { Clock, EventLog, Random } from '@papayahill/common'
import type { RowKey, RowWrite } from '@papayahill/stores'
import { encodeClaim, isSettled, readClaimRow, unknownKey } from './claimRecord.js'
import type { ClaimRecord, ClaimRow } from './claimRecord.js'
import { MAX_RETRY_DELAY, MIN_RETRY_DELAY } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'
import type { GroupCommit } from './GroupCommit.js'

/** The end of an attempt that is not yet in the store. */
interface PendingEnd {
  record: ClaimRecord
  version: number
  readonly whenWritten: Array<(isOurs: boolean) => void>
}

export interface OutcomeWriterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly commits: GroupCommit
  readonly log: EventLog
}

/**
 * - `superseded`: the store has another attempt's claim, or a settled outcome that this end must not replace.
 * - `again`, `later`: the write is to be retried at once, or after a delay.
 */
type WriteResult = 'done' | 'superseded' | 'again' | 'later'

/** Writes that keep the operators' list of unknown claims up to date with a claim. */
export const listingWrites = (record: ClaimRecord, before: ClaimRecord['state'] | undefined): readonly RowWrite[] => {
  const key = unknownKey(record.workspace, record.key)
  if (record.state === 'unknown') return [{ key, value: { workspace: record.workspace, key: record.key } }]
  return before === 'unknown' ? [{ key, value: null }] : []
}

/**
 * Writes the ends of attempts and retries through store outages. The owner is authoritative for its attempt, so
 * its record also replaces what other instances wrote about the same attempt in the meantime.
 */
export class OutcomeWriter {
  readonly #options: OutcomeWriterOptions
  #whenIdle: Array<() => void> = []
  readonly #pending = new Map<RowKey, PendingEnd>()

  constructor (options: OutcomeWriterOptions) {
    this.#options = options
  }

  /** The unwritten end of an attempt on this key. */
  pendingEnd (key: RowKey): ClaimRecord | undefined {
    return this.#pending.get(key)?.record
  }

  /** Outcomes that are not yet written. */
  pendingOutcomes (): readonly ClaimRecord[] {
    return [...this.#pending.values()].map((pending) => pending.record).filter(isSettled)
  }

  /** Resolves once nothing is pending. */
  whenIdle (): Promise<void> {
    if (this.#pending.size === 0) return Promise.resolve()
    return new Promise((resolve) => { this.#whenIdle.push(resolve) })
  }

  /** Resolves to true once the end is stored; false if the store has another attempt's claim or settled outcome instead. */
  write (key: RowKey, version: number, record: ClaimRecord): Promise<boolean> {
    return new Promise((resolve) => {
      const known = this.#pending.get(key)
      if (known !== undefined) {
        known.record = record
        known.whenWritten.push(resolve)
        return
      }
      this.#pending.set(key, { record, version, whenWritten: [resolve] })
      void this.#writeUntilDone(key)
    })
  }

  async #writeUntilDone (key: RowKey): Promise<void> {
    const { clock, random, log } = this.#options
    let maxDelay: number = MIN_RETRY_DELAY
    for (let isFirst = true; ; isFirst = false) {
      const pending = this.#pending.get(key)!
      const { record } = pending
      const result = await this.#tryWrite(key, pending)
      if ((result === 'done' || result === 'superseded') && pending.record === record) {
        if (!isFirst) log.emit(CLAIMS_EVENTS.outcomeWritten, { state: record.state })
        return this.#complete(key, pending, result === 'done')
      }
      if (result !== 'later') continue
      await clock.sleep(millis(MIN_RETRY_DELAY + random.next() * (maxDelay - MIN_RETRY_DELAY)))
      maxDelay = Math.min(MAX_RETRY_DELAY, maxDelay * 2)
    }
  }

  #complete (key: RowKey, pending: PendingEnd, isOurs: boolean): void {
    this.#pending.delete(key)
    for (const done of pending.whenWritten) done(isOurs)
    if (this.#pending.size > 0) return
    for (const wake of this.#whenIdle) wake()
    this.#whenIdle = []
  }

  async #tryWrite (key: RowKey, pending: PendingEnd): Promise<WriteResult> {
    const { commits } = this.#options
    const { record, version } = pending
    const extraWrites = listingWrites(record, record.state === 'unknown' ? undefined : 'unknown')
    const written = await commits.write({ key, version, value: encodeClaim(record), extraWrites })
    if (written.isOk) {
      pending.version = written.value
      return 'done'
    }
    if (written.error.kind === 'unavailable') return 'later'
    if (written.error.kind === 'conflict') return this.#resolveConflict(pending, readClaimRow(written.error.rows[0]!))
    const read = await commits.read(key)
    return read.isOk ? this.#resolveConflict(pending, readClaimRow(read.value)) : 'later'
  }

  /** Decides by the stored row: another attempt's claim is left alone, this attempt's claim is completed. */
  #resolveConflict (pending: PendingEnd, row: ClaimRow): WriteResult {
    const { record } = pending
    const stored = row.record
    if (stored === undefined || stored.attempt !== record.attempt) return 'superseded'
    if (stored.state === record.state && (isSettled(stored) || stored.state === 'unknown' || stored.state === 'released')) return 'done'
    const wasReportedNotRun = stored.outcome?.kind === 'failed' && stored.outcome.failure.run === 'not-run'
    if (wasReportedNotRun && record.state === 'released') return 'done'
    if (wasReportedNotRun) this.#options.log.emit(CLAIMS_EVENTS.outcomeContradicts, { workspace: record.workspace })
    if (isSettled(stored) && !isSettled(record)) return 'superseded'
    pending.version = row.version
    return 'again'
  }
}

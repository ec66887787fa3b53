import { millis } from '@papayahill/common'
import type { Clock, EventLog, Random } from '@papayahill/common'
import type { RowKey, RowWrite } from '@papayahill/stores'
import { encodeClaim, isSettled, readClaimRow, unknownKey } from './claimRecord.js'
import type { ClaimRecord, ClaimRow } from './claimRecord.js'
import { MAX_RETRY, MIN_RETRY } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'
import type { GroupCommit } from './GroupCommit.js'

/** The end of one attempt on its way to the store. */
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

/** `superseded`: the store shows another attempt, or a word that stands against this end. */
type WriteStep = 'done' | 'superseded' | 'again' | 'later'

/** Rows beside a claim that keep the operators' list of unknown claims right. */
export const listingWrites = (record: ClaimRecord, before: ClaimRecord['state'] | undefined): readonly RowWrite[] => {
  const key = unknownKey(record.workspace, record.key)
  if (record.state === 'unknown') return [{ key, value: { workspace: record.workspace, key: record.key } }]
  return before === 'unknown' ? [{ key, value: null }] : []
}

/**
 * Writes the ends of attempts, and goes on trying through an outage. The end of an attempt is the
 * truth of its owner, so it also replaces what others wrote about the same attempt meanwhile.
 */
export class OutcomeWriter {
  readonly #options: OutcomeWriterOptions
  #whenIdle: Array<() => void> = []
  readonly #pending = new Map<RowKey, PendingEnd>()

  constructor (options: OutcomeWriterOptions) {
    this.#options = options
  }

  /** The end of this attempt, while it is not yet written. */
  pendingEnd (key: RowKey): ClaimRecord | undefined {
    return this.#pending.get(key)?.record
  }

  /** Ends with an outcome that are not yet written. */
  pendingOutcomes (): readonly ClaimRecord[] {
    return [...this.#pending.values()].map((pending) => pending.record).filter(isSettled)
  }

  /** Resolves once nothing is on its way to the store. */
  whenIdle (): Promise<void> {
    if (this.#pending.size === 0) return Promise.resolve()
    return new Promise((resolve) => { this.#whenIdle.push(resolve) })
  }

  /** Resolves once the store has the end; false where it shows another attempt's claim instead. */
  write (key: RowKey, version: number, record: ClaimRecord): Promise<boolean> {
    return new Promise((resolve) => {
      const known = this.#pending.get(key)
      if (known !== undefined) {
        known.record = record
        known.whenWritten.push(resolve)
        return
      }
      this.#pending.set(key, { record, version, whenWritten: [resolve] })
      void this.#drive(key)
    })
  }

  async #drive (key: RowKey): Promise<void> {
    const { clock, random, log } = this.#options
    let bound: number = MIN_RETRY
    for (let isFirst = true; ; isFirst = false) {
      const pending = this.#pending.get(key)!
      const { record } = pending
      const step = await this.#try(key, pending)
      if ((step === 'done' || step === 'superseded') && pending.record === record) {
        if (!isFirst) log.emit(CLAIMS_EVENTS.outcomeWritten, { state: record.state })
        return this.#end(key, pending, step === 'done')
      }
      if (step !== 'later') continue
      await clock.sleep(millis(MIN_RETRY + random.next() * (bound - MIN_RETRY)))
      bound = Math.min(MAX_RETRY, bound * 2)
    }
  }

  #end (key: RowKey, pending: PendingEnd, isOurs: boolean): void {
    this.#pending.delete(key)
    for (const done of pending.whenWritten) done(isOurs)
    if (this.#pending.size > 0) return
    for (const wake of this.#whenIdle) wake()
    this.#whenIdle = []
  }

  async #try (key: RowKey, pending: PendingEnd): Promise<WriteStep> {
    const { commits } = this.#options
    const { record, version } = pending
    const beside = listingWrites(record, record.state === 'unknown' ? undefined : 'unknown')
    const written = await commits.write({ key, version, value: encodeClaim(record), beside })
    if (written.isOk) {
      pending.version = written.value
      return 'done'
    }
    if (written.error.kind === 'unavailable') return 'later'
    if (written.error.kind === 'conflict') return this.#meet(pending, readClaimRow(written.error.rows[0]!))
    const read = await commits.read(key)
    return read.isOk ? this.#meet(pending, readClaimRow(read.value)) : 'later'
  }

  /** Decides by what the store shows now: another attempt's claim is left alone, this one's is completed. */
  #meet (pending: PendingEnd, row: ClaimRow): WriteStep {
    const { record } = pending
    const stored = row.record
    if (stored === undefined || stored.attempt !== record.attempt) return 'superseded'
    if (stored.state === record.state && (isSettled(stored) || stored.state === 'unknown' || stored.state === 'released')) return 'done'
    const wasCalledNotRun = stored.outcome?.kind === 'failed' && stored.outcome.failure.run === 'not-run'
    if (wasCalledNotRun && record.state === 'released') return 'done'
    if (wasCalledNotRun) this.#options.log.emit(CLAIMS_EVENTS.outcomeContradicts, { workspace: record.workspace })
    if (isSettled(stored) && !isSettled(record)) return 'superseded'
    pending.version = row.version
    return 'again'
  }
}

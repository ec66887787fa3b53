import { brand, millis } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, OperatorName } from '@papayahill/common'
import type { ConfigLog } from '@papayahill/control'
import type { Peers } from '@papayahill/peers'
import type { TableService } from '@papayahill/stores'
import { POLL_PERIOD, RANK_DELAY, RETRY_PERIOD } from './constants.js'
import { ROLLOUT_EVENTS } from './events.js'
import type { EvidenceExchange } from './EvidenceExchange.js'
import type { MoveEntry } from './MoveEntry.js'
import { firstRecord } from './moveRow.js'
import type { MoveRecord, RecordedMove } from './moveRow.js'
import { MoveStore } from './MoveStore.js'
import type { OpenMove } from './OpenMove.js'
import { peerRank } from './peerRank.js'

export interface MoveRecorderOptions {
  readonly self: InstanceId
  readonly clock: Clock
  readonly table: TableService
  readonly peers: Peers
  readonly config: ConfigLog
  readonly log: EventLog
  readonly exchange: EvidenceExchange
  /** Called for a move that is rolled back according to the store. */
  readonly rollBack: (entry: MoveEntry, because: string) => void
}

const AUTHOR = brand<OperatorName>('papayahill')

/**
 * Persists moves: polls their rows in the table service, records steps and rollbacks by conditional writes, and completes
 * finished moves in the configuration.
 *
 * @example
 * await recorder.advance(entry) // carries out the entry's decision if it is this instance's turn
 */
export class MoveRecorder {
  readonly #options: MoveRecorderOptions
  readonly #store: MoveStore

  constructor (options: MoveRecorderOptions) {
    this.#options = options
    this.#store = new MoveStore(options.table)
  }

  /** Performs the next pending operation on the store or the configuration; at most one at a time per move. */
  async advance (entry: MoveEntry): Promise<void> {
    if (entry.isBusy || entry.open.isSuperseded || this.#options.clock.now() < entry.retryAt) return
    entry.isBusy = true
    try {
      await this.#poll(entry)
      if (entry.open.rollback !== undefined) await this.#recordRollback(entry)
      else if (entry.open.record?.state === 'done') await this.#finish(entry)
      else await this.#step(entry)
    } finally {
      entry.isBusy = false
    }
  }

  async #poll (entry: MoveEntry): Promise<void> {
    const now = this.#options.clock.now()
    if (entry.polledAt !== undefined && now - entry.polledAt < POLL_PERIOD) return
    const row = await this.#store.read(entry.open.move.service)
    if (row === undefined) return this.#delayRetry(entry)
    entry.polledAt = now
    this.adopt(entry, row)
    const { rollback, move, isRollbackRecorded } = entry.open
    if (rollback !== undefined && !isRollbackRecorded) this.#options.exchange.publishRollback(move, rollback.because)
  }

  async #recordRollback (entry: MoveEntry): Promise<void> {
    const { open } = entry
    if (open.isRollbackRecorded || open.rollback === undefined || entry.polledAt === undefined) return
    const { because } = open.rollback
    await this.#write(entry, { ...this.#recordOf(open), state: 'taken-back', share: 0, because })
    if (open.isRollbackRecorded) this.#options.log.emit(ROLLOUT_EVENTS.takeBackRecorded, { service: open.move.service, because })
  }

  async #step (entry: MoveEntry): Promise<void> {
    const { decision, open } = entry
    if (decision.kind === 'hold' || !this.#isMyTurn(entry)) return
    const isDone = decision.kind === 'done'
    const share = isDone ? 1 : decision.share
    const record = this.#recordOf(open)
    const steppedAt = this.#options.clock.wall()
    await this.#write(entry, { ...record, state: isDone ? 'done' : 'moving', share, steppedAt, because: decision.because })
  }

  /** Completes the move in the configuration, unless a fresh read of the row shows a rollback. */
  async #finish (entry: MoveEntry): Promise<void> {
    if (!this.#isMyTurn(entry)) return
    const { open } = entry
    const { service, to } = open.move
    const { config } = this.#options
    const { version } = config.view()
    const row = await this.#store.read(service)
    if (row === undefined) return this.#delayRetry(entry)
    this.adopt(entry, row)
    if (open.rollback !== undefined) return
    const result = await config.propose([{ kind: 'move-done', service, version: to }], AUTHOR, version)
    if (result.isErr) this.#delayRetry(entry)
  }

  #isMyTurn (entry: MoveEntry): boolean {
    const { clock, self, peers } = this.#options
    entry.dueSince ??= clock.now()
    const rank = peerRank(`${entry.open.move.service} ${entry.open.rowVersion}`, self, peers.members())
    return clock.now() - entry.dueSince >= rank * RANK_DELAY
  }

  /** Skips the store and the configuration for {@link RETRY_PERIOD}. */
  #delayRetry (entry: MoveEntry): void {
    entry.retryAt = millis(this.#options.clock.now() + RETRY_PERIOD)
  }

  #recordOf ({ record, move }: OpenMove): MoveRecord {
    return record ?? firstRecord(move.startedAt, this.#options.clock.wall())
  }

  async #write (entry: MoveEntry, record: MoveRecord): Promise<void> {
    const { open } = entry
    const outcome = await this.#store.write(open.move.service, record, open.rowVersion)
    if (outcome.kind === 'unknown' || outcome.kind === 'unavailable') return this.#writeFailed(entry, outcome.kind)
    entry.isStoreFailing = false
    this.#applyRow(entry, outcome.row)
    if (outcome.kind !== 'written') return
    this.#options.exchange.publishStep(open.move, outcome.row)
    if (record.state !== 'moving') return
    const { service, to } = open.move
    this.#options.log.emit(ROLLOUT_EVENTS.moveStepped, { service, version: to, share: record.share, because: record.because })
  }

  /** Handles a failed write. If the answer was lost, the row is read again before anything else. */
  #writeFailed (entry: MoveEntry, kind: 'unknown' | 'unavailable'): void {
    if (kind === 'unknown') entry.polledAt = undefined
    else this.#delayRetry(entry)
    if (!entry.isStoreFailing) this.#options.log.emit(ROLLOUT_EVENTS.moveStoreFailed, { service: entry.open.move.service, answer: kind })
    entry.isStoreFailing = true
  }

  /** Adopts a row from the store, or from the peer that wrote it, if it is newer. */
  adopt (entry: MoveEntry, row: RecordedMove): void {
    if (row.version > entry.open.rowVersion) this.#applyRow(entry, row)
  }

  #applyRow (entry: MoveEntry, { version, record }: RecordedMove): void {
    entry.dueSince = undefined
    entry.open.adopt(version, record)
    const { move } = entry.open
    if (record?.startedAt === move.startedAt && record.state === 'taken-back') this.#options.rollBack(entry, record.because)
  }
}

import { brand, millis } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, OperatorName } from '@papayahill/common'
import type { ConfigLog } from '@papayahill/control'
import type { Peers } from '@papayahill/peers'
import type { TableService } from '@papayahill/stores'
import { POLL_PERIOD, RETRY_PERIOD, TURN_PERIOD } from './constants.js'
import { ROLLOUT_EVENTS } from './events.js'
import type { EvidenceLink } from './EvidenceLink.js'
import type { MoveEntry } from './MoveEntry.js'
import { firstRecord } from './moveRow.js'
import type { MoveRecord, RecordedMove } from './moveRow.js'
import { MoveStore } from './MoveStore.js'
import type { OpenMove } from './OpenMove.js'
import { turnOf } from './turnOf.js'

export interface MoveRecorderOptions {
  readonly self: InstanceId
  readonly clock: Clock
  readonly table: TableService
  readonly peers: Peers
  readonly config: ConfigLog
  readonly log: EventLog
  readonly link: EvidenceLink
  /** Takes a version back that the store says was taken back. */
  readonly takeBack: (entry: MoveEntry, because: string) => void
}

const AUTHOR = brand<OperatorName>('papayahill')

/**
 * Keeps moves in step with the table service and the configuration: reads and writes their rows by conditional
 * write, records take-backs, and closes moves that are done.
 *
 * @example
 * await recorder.act(entry) // does what the entry's decision makes due, if it is this instance's turn
 */
export class MoveRecorder {
  readonly #options: MoveRecorderOptions
  readonly #store: MoveStore

  constructor (options: MoveRecorderOptions) {
    this.#options = options
    this.#store = new MoveStore(options.table)
  }

  /** Does what is due and needs the store or the configuration; one thing at a time for each move. */
  async act (entry: MoveEntry): Promise<void> {
    if (entry.isBusy || entry.open.isSuperseded || this.#options.clock.now() < entry.retryAt) return
    entry.isBusy = true
    try {
      await this.#poll(entry)
      if (entry.open.takeBack !== undefined) await this.#recordTakeBack(entry)
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
    if (row === undefined) return this.#pause(entry)
    entry.polledAt = now
    this.adopt(entry, row)
    const { takeBack, move, isTakeBackRecorded } = entry.open
    if (takeBack !== undefined && !isTakeBackRecorded) this.#options.link.publishTakeBack(move, takeBack.because)
  }

  async #recordTakeBack (entry: MoveEntry): Promise<void> {
    const { open } = entry
    if (open.isTakeBackRecorded || open.takeBack === undefined || entry.polledAt === undefined) return
    const { because } = open.takeBack
    await this.#write(entry, { ...this.#recordOf(open), state: 'taken-back', share: 0, because })
    if (open.isTakeBackRecorded) this.#options.log.emit(ROLLOUT_EVENTS.takeBackRecorded, { service: open.move.service, because })
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

  /** Closes the move in the configuration; a take-back that the store knows of comes first. */
  async #finish (entry: MoveEntry): Promise<void> {
    if (!this.#isMyTurn(entry)) return
    const { open } = entry
    const { service, to } = open.move
    const { config } = this.#options
    const { version } = config.view()
    const row = await this.#store.read(service)
    if (row === undefined) return this.#pause(entry)
    this.adopt(entry, row)
    if (open.takeBack !== undefined) return
    const result = await config.propose([{ kind: 'move-done', service, version: to }], AUTHOR, version)
    if (result.isErr) this.#pause(entry)
  }

  #isMyTurn (entry: MoveEntry): boolean {
    const { clock, self, peers } = this.#options
    entry.dueSince ??= clock.now()
    const turn = turnOf(`${entry.open.move.service} ${entry.open.rowVersion}`, self, peers.members())
    return clock.now() - entry.dueSince >= turn * TURN_PERIOD
  }

  /** Leaves the store and the configuration alone for a while. */
  #pause (entry: MoveEntry): void {
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
    this.#takeOver(entry, outcome.row)
    if (outcome.kind !== 'written') return
    this.#options.link.publishStep(open.move, outcome.row)
    if (record.state !== 'moving') return
    const { service, to } = open.move
    this.#options.log.emit(ROLLOUT_EVENTS.moveStepped, { service, version: to, share: record.share, because: record.because })
  }

  /** A lost answer is read back before anything else is tried. */
  #writeFailed (entry: MoveEntry, kind: 'unknown' | 'unavailable'): void {
    if (kind === 'unknown') entry.polledAt = undefined
    else this.#pause(entry)
    if (!entry.isStoreFailing) this.#options.log.emit(ROLLOUT_EVENTS.moveStoreFailed, { service: entry.open.move.service, answer: kind })
    entry.isStoreFailing = true
  }

  /** Takes over a newer row, as the store or a peer that wrote it showed it. */
  adopt (entry: MoveEntry, row: RecordedMove): void {
    if (row.version > entry.open.rowVersion) this.#takeOver(entry, row)
  }

  #takeOver (entry: MoveEntry, { version, record }: RecordedMove): void {
    entry.dueSince = undefined
    entry.open.adopt(version, record)
    const { move } = entry.open
    if (record?.startedAt === move.startedAt && record.state === 'taken-back') this.#options.takeBack(entry, record.because)
  }
}

import { hash32 } from '@papayahill/common'
import type { Incarnation, InstanceId, Json } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { BackupEncoder } from './BackupEncoder.js'
import type { BackupFrame, BackupRow } from './backupFrame.js'
import { BACKUP_ENTRIES_MISSING, BACKUP_PEER_COUNT, BACKUP_STORED, BACKUP_TIMEOUT } from './constants.js'
import type { Chunk, Ledger } from './Ledger.js'
import type { PackedLine } from './LedgerLine.js'
import { ledgerRowKey } from './LedgerStore.js'

/**
 * Messages between instances about unrecorded work.
 * - a {@link BackupFrame}: adds lines to the receiver's backup of the sender; the reply says whether they were stored.
 * - `recorded`: replaces the backup of a row by the lines that are still unrecorded.
 * - `collect`: asks for all unrecorded lines that the receiver has.
 */
export type BackupMessage =
  | BackupFrame
  | { readonly kind: 'recorded', readonly life: Incarnation, readonly rows: readonly BackupRow[] }
  | { readonly kind: 'collect' }

export interface LedgerBackupOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly peers: Peers
  readonly ledger: Ledger
}

/**
 * Keeps backups of this instance's unrecorded work at a few peers, so that a crash loses almost none of it. A new
 * backup peer, or one that did not answer, is sent all of it again.
 *
 * @example
 * ledger.count(metered)
 * backup.send()
 */
export class LedgerBackup {
  readonly #options: LedgerBackupOptions
  /** Sessions with backup peers that have all unrecorded lines sent so far, by the peer's incarnation. */
  readonly #encoders = new Map<Incarnation, BackupEncoder>()
  #sessions = 0

  constructor (options: LedgerBackupOptions) {
    this.#options = options
  }

  /** Sends the backup peers the lines that changed since the last call. */
  send (): void {
    const rows = this.#rows((chunk) => chunk.takeNotBackedUp())
    const targets = this.#backupPeers()
    for (const known of this.#encoders.keys()) if (!targets.some(({ incarnation }) => incarnation === known)) this.#encoders.delete(known)
    for (const { id, incarnation } of targets) {
      if (this.#encoders.get(incarnation)?.isFull === true) this.#encoders.delete(incarnation)
      const hasSession = this.#encoders.has(incarnation)
      void this.#sendTo(id, incarnation, hasSession ? rows : this.unrecorded())
    }
  }

  /** Tells the backup peers that a row was written, so that they can drop its recorded lines. */
  sendRecorded (chunk: Chunk): void {
    const { peers, incarnation: life } = this.#options
    const message: BackupMessage = { kind: 'recorded', life, rows: [this.#rowOf(chunk, chunk.unrecorded())] }
    for (const { id } of this.#backupPeers()) peers.send(id, 'cost', message as unknown as Json)
  }

  /** All lines of this incarnation that may not be recorded in the table yet. */
  unrecorded (): readonly BackupRow[] {
    return this.#rows((chunk) => chunk.unrecorded())
  }

  async #sendTo (to: InstanceId, target: Incarnation, rows: readonly BackupRow[]): Promise<void> {
    if (rows.length === 0) return
    const { peers, incarnation: ownIncarnation } = this.#options
    const encoder = this.#encoders.get(target) ?? new BackupEncoder(ownIncarnation, this.#sessions++)
    this.#encoders.set(target, encoder)
    const wasUnconfirmed = encoder.isUnconfirmed
    const { frame, size } = encoder.encode(rows)
    const answer = await peers.ask(to, 'cost', frame as unknown as Json, BACKUP_TIMEOUT)
    if (answer.isOk && answer.value === BACKUP_STORED) return encoder.confirm(size)
    if (this.#encoders.get(target) !== encoder) return
    this.#encoders.delete(target)
    // The frame contained all entries and was not accepted even so: sending it again would not help.
    if (wasUnconfirmed) return
    // A peer that lacks entries is reachable and is sent everything now; one that did not answer, with the next lines.
    if (answer.isOk && answer.value === BACKUP_ENTRIES_MISSING) await this.#sendTo(to, target, this.unrecorded())
  }

  /** The first connected peers in an order that is specific to this incarnation. */
  #backupPeers (): ReadonlyArray<{ readonly id: InstanceId, readonly incarnation: Incarnation }> {
    const { peers, self, incarnation: ownIncarnation } = this.#options
    const rank = (id: InstanceId): number => hash32(`${ownIncarnation} ${id}`)
    const others = peers.members().filter(({ id }) => id !== self && peers.isConnected(id))
    return others.sort((left, right) => rank(left.id) - rank(right.id)).slice(0, BACKUP_PEER_COUNT)
  }

  #rows (linesOf: (chunk: Chunk) => readonly PackedLine[]): readonly BackupRow[] {
    return this.#options.ledger.chunks.map((chunk) => this.#rowOf(chunk, linesOf(chunk))).filter(({ lines }) => lines.length > 0)
  }

  #rowOf (chunk: Chunk, lines: readonly PackedLine[]): BackupRow {
    return { row: ledgerRowKey(chunk.day, this.#options.incarnation, chunk.index), lines }
  }
}

import { brand, hash32 } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { RowKey } from '@papayahill/stores'
import { z } from 'zod'
import { BackupDecoder } from './BackupDecoder.js'
import { backupFrameSchema } from './backupFrame.js'
import { BACKUP_ENTRIES_MISSING, BACKUP_STORED, BACKUP_TIMEOUT, RECOVER_AFTER, RECOVER_STAGGER } from './constants.js'
import type { BackupRow } from './backupFrame.js'
import type { BackupMessage } from './LedgerBackup.js'
import { packedLineSchema } from './LedgerLine.js'
import type { LedgerStore } from './LedgerStore.js'
import { LineSet } from './LineSet.js'

const rowsSchema = z.array(z.object({ row: z.string(), lines: z.array(packedLineSchema) }))
const messageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('recorded'), life: z.string(), rows: rowsSchema }),
  z.object({ kind: z.literal('collect') })
])

/** Unrecorded lines of one row. */
export interface UnrecordedRow {
  readonly row: RowKey
  readonly lines: LineSet
}

export interface PeerBackupsOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly peers: Peers
  /** Unrecorded lines of this instance itself. */
  readonly unrecorded: () => readonly BackupRow[]
}

type RowLines = Map<RowKey, LineSet>

const toLines = (rows: z.infer<typeof rowsSchema>): readonly UnrecordedRow[] =>
  rows.map(({ row, lines }) => ({ row: brand<RowKey>(row), lines: LineSet.unpack(lines) }))

/**
 * Backups of the unrecorded work of other instances. Once an instance has been gone for long enough, the peers that
 * have its backup record it, one after the other. Merging a row never adds counters up, so everything counts once.
 *
 * @example
 * const backups = new PeerBackups({ self, incarnation, clock, peers, unrecorded: () => ledgerBackup.unrecorded() })
 * await backups.recover(store)
 */
export class PeerBackups {
  readonly #options: PeerBackupsOptions
  readonly #backups = new Map<Incarnation, RowLines>()
  readonly #decoders = new Map<InstanceId, BackupDecoder>()
  readonly #missingSince = new Map<Incarnation, Millis>()

  constructor (options: PeerBackupsOptions) {
    this.#options = options
    options.peers.handle('cost', (from, message) => this.#receive(from, message))
  }

  /** Unrecorded lines of all instances, from the peers that answer and from the backups here. */
  async collect (): Promise<readonly UnrecordedRow[]> {
    const { peers } = this.#options
    const message: BackupMessage = { kind: 'collect' }
    const requests = peers.members().map(({ id }) => peers.ask(id, 'cost', message, BACKUP_TIMEOUT))
    const answers = await Promise.all(requests)
    const rows = answers.map((answer) => rowsSchema.safeParse(answer.isOk ? answer.value : undefined))
    const received = rows.flatMap((parsed) => parsed.success ? toLines(parsed.data) : [])
    return [...received, ...this.#backupRows()]
  }

  /** Records the work of incarnations that are gone and returns the number of recorded lines. */
  async recover (store: LedgerStore): Promise<number> {
    this.#updateMissing()
    let count = 0
    for (const [incarnation, backup] of this.#backups) {
      if (!this.#isMyTurn(incarnation)) continue
      for (const [row, lines] of backup) {
        const size = lines.size
        if (await store.merge(row, lines, 0) === undefined) continue
        backup.delete(row)
        count += size
      }
      if (backup.size === 0) this.#backups.delete(incarnation)
    }
    return count
  }

  #receive (from: InstanceId, message: Json): Json {
    if (Array.isArray(message)) return this.#storeFrame(from, message)
    const parsed = messageSchema.safeParse(message)
    if (!parsed.success) return null
    if (parsed.data.kind === 'collect') return this.#unrecordedRows() as unknown as Json
    const backup = this.#backupOf(brand<Incarnation>(parsed.data.life))
    for (const { row, lines } of toLines(parsed.data.rows)) replaceRow(backup, row, lines)
    return BACKUP_STORED
  }

  #storeFrame (from: InstanceId, message: Json): Json {
    const parsed = backupFrameSchema.safeParse(message)
    if (!parsed.success) return null
    const decoder = this.#decoders.get(from) ?? new BackupDecoder()
    this.#decoders.set(from, decoder)
    const decoded = decoder.decode(parsed.data)
    if (decoded === undefined) return BACKUP_ENTRIES_MISSING
    const backup = this.#backupOf(decoded.incarnation)
    for (const { row, lines } of decoded.rows) mergeRow(backup, row, LineSet.unpack(lines))
    return BACKUP_STORED
  }

  #backupOf (incarnation: Incarnation): RowLines {
    const backup = this.#backups.get(incarnation) ?? new Map<RowKey, LineSet>()
    this.#backups.set(incarnation, backup)
    return backup
  }

  #unrecordedRows (): readonly BackupRow[] {
    const backups = this.#backupRows().map(({ row, lines }) => ({ row, lines: lines.pack() }))
    return [...this.#options.unrecorded(), ...backups]
  }

  #backupRows (): readonly UnrecordedRow[] {
    return [...this.#backups.values()].flatMap((backup) => [...backup].map(([row, lines]) => ({ row, lines })))
  }

  #updateMissing (): void {
    const { peers, clock } = this.#options
    const present = new Set(peers.members().map(({ incarnation }) => incarnation))
    for (const incarnation of this.#backups.keys()) {
      if (present.has(incarnation)) this.#missingSince.delete(incarnation)
      else if (!this.#missingSince.has(incarnation)) this.#missingSince.set(incarnation, clock.now())
    }
    const ids = new Set(peers.members().map(({ id }) => id))
    for (const id of this.#decoders.keys()) if (!ids.has(id)) this.#decoders.delete(id)
    for (const incarnation of this.#missingSince.keys()) if (!this.#backups.has(incarnation)) this.#missingSince.delete(incarnation)
  }

  #isMyTurn (incarnation: Incarnation): boolean {
    const { clock, peers, self } = this.#options
    const since = this.#missingSince.get(incarnation)
    if (since === undefined) return false
    const rank = hash32(`${incarnation} ${self}`)
    const higherRanked = peers.members().filter(({ id }) => hash32(`${incarnation} ${id}`) < rank).length
    return clock.now() - since >= RECOVER_AFTER + Math.min(1, higherRanked) * RECOVER_STAGGER
  }
}

const mergeRow = (backup: RowLines, row: RowKey, lines: LineSet): void => {
  const known = backup.get(row)
  if (known === undefined) backup.set(row, lines)
  else known.merge(lines)
}

const replaceRow = (backup: RowLines, row: RowKey, lines: LineSet): void => {
  if (lines.size === 0) backup.delete(row)
  else backup.set(row, lines)
}

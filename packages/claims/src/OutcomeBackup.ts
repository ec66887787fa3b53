import { hash32, isJsonObject, millis, brand } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, Json, Random, Timer } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { RowKey } from '@papayahill/stores'
import { LRUCache } from 'lru-cache'
import { claimKey, decodeClaim, encodeClaim, isSettled, readClaimRow } from './claimRecord.js'
import type { ClaimRecord } from './claimRecord.js'
import { ASK_TIMEOUT, BACKUP_COPIES, MAX_ASKED_PEERS, MAX_BACKUPS, MAX_RETRY_DELAY } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'
import type { GroupCommit } from './GroupCommit.js'
import { listingWrites } from './OutcomeWriter.js'

export interface OutcomeBackupOptions {
  readonly clock: Clock
  readonly random: Random
  readonly peers: Peers
  readonly commits: GroupCommit
  readonly log: EventLog
}

/**
 * Backs up outcomes that the store has not accepted yet to peers, and keeps the backup copies of peers' outcomes.
 * The peers also write their copies to the store, so that an outcome survives its owner.
 */
export class OutcomeBackup {
  readonly #options: OutcomeBackupOptions
  readonly #records: LRUCache<RowKey, ClaimRecord>
  #timer: Timer | undefined
  #isRunning = false

  constructor (options: OutcomeBackupOptions) {
    this.#options = options
    this.#records = new LRUCache({
      max: MAX_BACKUPS,
      dispose: (_record, _key, reason) => { if (reason === 'evict') options.log.emit(CLAIMS_EVENTS.holderFull) }
    })
  }

  start (): void {
    this.#isRunning = true
    this.#schedule()
  }

  stop (): void {
    this.#isRunning = false
    this.#timer?.cancel()
  }

  /** Sends an outcome of this instance to peers; returns how many keep a copy. */
  async replicate (record: ClaimRecord): Promise<number> {
    const key = claimKey(record.workspace, record.key)
    const message = { kind: 'hold', record: encodeClaim(record) }
    let holders = 0
    for (const peer of this.#peersFor(key)) {
      const answer = await this.#options.peers.ask(peer, 'claim', message, ASK_TIMEOUT)
      if (answer.isOk && answer.value === true) holders++
      if (holders === BACKUP_COPIES) break
    }
    return holders
  }

  /** Notifies the peers with a copy that the outcome is in the store. */
  notifyWritten (record: ClaimRecord): void {
    const key = claimKey(record.workspace, record.key)
    for (const peer of this.#peersFor(key)) this.#options.peers.send(peer, 'claim', { kind: 'written', key, attempt: record.attempt })
  }

  store (record: ClaimRecord): void {
    this.#records.set(claimKey(record.workspace, record.key), record)
  }

  remove (key: RowKey, attempt: string): void {
    if (this.#records.peek(key)?.attempt === attempt) this.#records.delete(key)
  }

  get (key: RowKey): ClaimRecord | undefined {
    return this.#records.get(key)
  }

  /** The settled record of a key from a backup copy of this instance or a reachable peer. */
  async find (key: RowKey): Promise<ClaimRecord | undefined> {
    const own = this.get(key)
    if (own !== undefined) return own
    const answers = await Promise.all(this.#peersFor(key).map((peer) =>
      this.#options.peers.ask(peer, 'claim', { kind: 'held', key }, ASK_TIMEOUT)))
    return answers.map((answer) => answer.isOk ? decodeClaim(answer.value) : undefined)
      .find((record) => record !== undefined && isSettled(record))
  }

  /** Connected peers, in an order that depends on the key and is the same at all instances. */
  #peersFor (key: RowKey): readonly InstanceId[] {
    const { peers } = this.#options
    return peers.members()
      .map((member) => member.id)
      .filter((id) => peers.isConnected(id))
      .sort((left, right) => hash32(`${left} ${key}`) - hash32(`${right} ${key}`))
      .slice(0, MAX_ASKED_PEERS)
  }

  #schedule (): void {
    if (!this.#isRunning) return
    const { clock, random } = this.#options
    this.#timer = clock.after(millis(MAX_RETRY_DELAY * (1 + random.next())), () => {
      void this.#writeAll().then(() => this.#schedule())
    })
  }

  /** Writes the kept copies of claims that the store still has under the same attempt without an outcome. */
  async #writeAll (): Promise<void> {
    for (const [key, record] of [...this.#records.entries()]) {
      const isDone = await this.#writeOne(key, record)
      if (!isDone) return
      this.remove(key, record.attempt)
    }
  }

  /** False if the read or write failed; the remaining copies are then not tried in this round. */
  async #writeOne (key: RowKey, record: ClaimRecord): Promise<boolean> {
    const { commits } = this.#options
    const read = await commits.read(key)
    if (read.isErr) return false
    const row = readClaimRow(read.value)
    if (row.record?.attempt !== record.attempt || isSettled(row.record)) return true
    const extraWrites = listingWrites(record, row.record.state)
    const written = await commits.write({ key, version: row.version, value: encodeClaim(record), extraWrites })
    return written.isOk
  }
}

/** The key in a peer's message, if it has one. */
export const keyOfMessage = (message: Json): RowKey | undefined =>
  isJsonObject(message) && typeof message['key'] === 'string' ? brand<RowKey>(message['key']) : undefined

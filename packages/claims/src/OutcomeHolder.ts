import { hash32, isJsonObject, millis, brand } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, Json, Random, Timer } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { RowKey } from '@papayahill/stores'
import { LRUCache } from 'lru-cache'
import { claimKey, decodeClaim, encodeClaim, isSettled, readClaimRow } from './claimRecord.js'
import type { ClaimRecord } from './claimRecord.js'
import { ASK_TIMEOUT, HOLDERS, MAX_ASKED_PEERS, MAX_HELD, MAX_RETRY } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'
import type { GroupCommit } from './GroupCommit.js'
import { listingWrites } from './OutcomeWriter.js'

export interface OutcomeHolderOptions {
  readonly clock: Clock
  readonly random: Random
  readonly peers: Peers
  readonly commits: GroupCommit
  readonly log: EventLog
}

/**
 * Outcomes that the store has not taken yet, held for their owners by peers. A holder writes them
 * itself as well, so that an outcome survives its owner.
 */
export class OutcomeHolder {
  readonly #options: OutcomeHolderOptions
  readonly #held: LRUCache<RowKey, ClaimRecord>
  #timer: Timer | undefined
  #isRunning = false

  constructor (options: OutcomeHolderOptions) {
    this.#options = options
    this.#held = new LRUCache({
      max: MAX_HELD,
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

  /** Has peers hold an outcome of this instance; how many do. */
  async give (record: ClaimRecord): Promise<number> {
    const key = claimKey(record.workspace, record.key)
    const message = { kind: 'hold', record: encodeClaim(record) }
    let holders = 0
    for (const peer of this.#peersFor(key)) {
      const answer = await this.#options.peers.ask(peer, 'claim', message, ASK_TIMEOUT)
      if (answer.isOk && answer.value === true) holders++
      if (holders === HOLDERS) break
    }
    return holders
  }

  /** Tells the holders that the outcome is in the store. */
  release (record: ClaimRecord): void {
    const key = claimKey(record.workspace, record.key)
    for (const peer of this.#peersFor(key)) this.#options.peers.send(peer, 'claim', { kind: 'written', key, attempt: record.attempt })
  }

  hold (record: ClaimRecord): void {
    this.#held.set(claimKey(record.workspace, record.key), record)
  }

  drop (key: RowKey, attempt: string): void {
    if (this.#held.peek(key)?.attempt === attempt) this.#held.delete(key)
  }

  held (key: RowKey): ClaimRecord | undefined {
    return this.#held.get(key)
  }

  /** The settled record of a key that a reachable peer, or this instance, knows. */
  async find (key: RowKey): Promise<ClaimRecord | undefined> {
    const own = this.held(key)
    if (own !== undefined) return own
    const answers = await Promise.all(this.#peersFor(key).map((peer) =>
      this.#options.peers.ask(peer, 'claim', { kind: 'held', key }, ASK_TIMEOUT)))
    return answers.map((answer) => answer.isOk ? decodeClaim(answer.value) : undefined)
      .find((record) => record !== undefined && isSettled(record))
  }

  /** Reachable peers in an order that all instances share for one key. */
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
    this.#timer = clock.after(millis(MAX_RETRY * (1 + random.next())), () => {
      void this.#writeHeld().then(() => this.#schedule())
    })
  }

  /** Writes what is held here wherever the store still shows the same attempt without an outcome. */
  async #writeHeld (): Promise<void> {
    for (const [key, record] of [...this.#held.entries()]) {
      const isOver = await this.#writeOne(key, record)
      if (!isOver) return
      this.drop(key, record.attempt)
    }
  }

  /** False where the store gave no answer, so that trying the others is of no use now. */
  async #writeOne (key: RowKey, record: ClaimRecord): Promise<boolean> {
    const { commits } = this.#options
    const read = await commits.read(key)
    if (read.isErr) return false
    const row = readClaimRow(read.value)
    if (row.record?.attempt !== record.attempt || isSettled(row.record)) return true
    const beside = listingWrites(record, row.record.state)
    const written = await commits.write({ key, version: row.version, value: encodeClaim(record), beside })
    return written.isOk
  }
}

/** The key in a peer's question, if it has one. */
export const askedKey = (message: Json): RowKey | undefined =>
  isJsonObject(message) && typeof message['key'] === 'string' ? brand<RowKey>(message['key']) : undefined

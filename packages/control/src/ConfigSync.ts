import { isJsonObject } from '@papayahill/common'
import type { EventLog, InstanceId, Json } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { StoreError } from '@papayahill/stores'
import type { OperatorConfig } from '@papayahill/settings'
import { Result } from 'true-myth'
import { applyChanges } from './actions/applyChanges.js'
import { replay } from './ChangeLog.js'
import type { ChangeLog } from './ChangeLog.js'
import type { ConfigStore, StoredHead } from './ConfigStore.js'
import { ASK_TIMEOUT, MAX_ASKED_PEERS, MAX_ROWS_PER_CALL, MAX_UPDATE_TRIES } from './constants.js'
import { CONTROL_EVENTS } from './events.js'
import { decodeLogged, decodeState, encodeLogged, encodeState } from './logRecords.js'
import type { LoggedChange, WriteId } from './logRecords.js'
import type { ConfigChange } from './types.js'

/** Maximum number of changes in one answer to a peer. */
const MAX_SENT_CHANGES = 32
const UNSETTLED: StoreError = { kind: 'unavailable', detail: 'the configuration log kept changing while it was read' }

export interface ConfigSyncOptions {
  readonly log: ChangeLog
  readonly store: ConfigStore
  readonly peers: Peers
  readonly events: EventLog
  readonly newWriteId: () => WriteId
  /** Called after the log has advanced to a newer version. */
  readonly onVersionChange: () => void
}

/** The changes that can still be applied to a configuration, in order. */
const applicableChanges = (config: OperatorConfig, changes: readonly ConfigChange[], version: number): readonly ConfigChange[] => {
  let current = config
  return changes.filter((change) => {
    const applied = applyChanges(current, [change], version)
    current = applied.unwrapOr(current)
    return applied.isOk
  })
}

/** Synchronizes the local log with the store and with peers; accepted changes are never dropped. */
export class ConfigSync {
  readonly #options: ConfigSyncOptions

  constructor (options: ConfigSyncOptions) {
    this.#options = options
  }

  /** Synchronizes until the store and this instance agree on a head, and returns it. */
  async reconcile (): Promise<Result<StoredHead, StoreError>> {
    for (let tries = 0; tries < MAX_UPDATE_TRIES; tries++) {
      const head = await this.#options.store.readHead()
      if (head.isErr) return head
      if (this.#isAgreed(head.value)) return head
      const step = await this.#converge(head.value)
      if (step.isErr) return Result.err(step.error)
    }
    return Result.err(UNSETTLED)
  }

  /** Appends changes from a peer or the store, as far as each is based on the previous one. */
  applyRemote (changes: readonly LoggedChange[]): void {
    const { log } = this.#options
    const before = log.state.version
    for (const change of changes) if (log.isNext(change)) log.append(change)
    if (log.state.version > before) this.#options.onVersionChange()
  }

  /** Catches up with up to {@link MAX_ASKED_PEERS} reachable peers; true if any of them answered. */
  async askPeers (): Promise<boolean> {
    const { peers } = this.#options
    const reachable = peers.members().map((member) => member.id).filter((id) => peers.isConnected(id)).slice(0, MAX_ASKED_PEERS)
    const answers = await Promise.all(reachable.map((id) => this.askPeer(id)))
    return answers.includes(true)
  }

  /** Catches up with one peer; false if it did not answer or has no configuration. */
  async askPeer (id: InstanceId): Promise<boolean> {
    const { log, peers } = this.#options
    for (;;) {
      const { version, writeId } = log.state
      const answer = await peers.ask(id, 'config', { kind: 'since', version, writeId }, ASK_TIMEOUT)
      if (answer.isErr || !isJsonObject(answer.value)) return false
      this.#applyAnswer(answer.value)
      if (log.state.version === version) return answer.value['version'] !== 0
    }
  }

  /**
   * The answer to a peer that is at `version`: the newer changes; the whole state if the log does not reach back, or if
   * a peer without a configuration lacks many changes; the version alone if nothing is newer or the histories differ.
   */
  answer (version: number, writeId: WriteId): { readonly [key: string]: Json } {
    const { log } = this.#options
    const { state } = log
    if (state.version <= version) return { version: state.version }
    const changes = log.since(version)
    if (changes === undefined || (version === 0 && changes.length > MAX_SENT_CHANGES)) {
      return { version: state.version, state: encodeState(state) }
    }
    if (!log.has(writeId)) return { version: state.version }
    return { version: state.version, changes: changes.slice(0, MAX_SENT_CHANGES).map(encodeLogged) }
  }

  #applyAnswer (answer: { readonly [key: string]: Json }): void {
    const { log, onVersionChange } = this.#options
    const { changes } = answer
    const state = decodeState(answer['state'])
    if (state !== undefined && state.version > log.state.version) {
      log.reset(state)
      onVersionChange()
    } else if (Array.isArray(changes)) {
      this.applyRemote(changes.map((change: Json) => decodeLogged(change)).filter((change) => change !== undefined))
    }
  }

  #isAgreed (head: StoredHead): boolean {
    const { state } = this.#options.log
    return head.version === state.version && head.writeId === state.writeId
  }

  async #converge (head: StoredHead): Promise<Result<unknown, StoreError>> {
    const { log } = this.#options
    const { state } = log
    if (head.version < state.version) {
      const isOwnHistory = log.has(head.writeId) || log.since(head.version) === undefined
      return isOwnHistory ? await this.#repair(head) : await this.#mergeHistories(head)
    }
    const pulled = await this.#pull(head)
    if (pulled.isErr || pulled.value) return pulled
    return await this.#mergeHistories(head)
  }

  /** Applies newer versions from the store; false if they are not based on the local history. */
  async #pull (head: StoredHead): Promise<Result<boolean, StoreError>> {
    const { log, store, onVersionChange } = this.#options
    const { version, writeId } = log.state
    const rows = await store.readChanges(Math.max(1, version), head.version)
    if (rows.isErr) return Result.err(rows.error)
    this.applyRemote(rows.value)
    if (log.state.version > version) return Result.ok(true)
    const own = rows.value.find((change) => change.version === version)
    if (own !== undefined && own.writeId !== writeId) return Result.ok(false)
    const snapshot = await store.readSnapshot(head.snapshot)
    if (snapshot === undefined || snapshot.version <= version) return Result.ok(false)
    log.reset(snapshot)
    onVersionChange()
    return Result.ok(true)
  }

  /** Writes back the changes that a restored store lacks. */
  async #repair (head: StoredHead): Promise<Result<unknown, StoreError>> {
    const { log, store, events } = this.#options
    // Each change takes two rows: its own and the marker of its write.
    const missing = log.since(head.version)?.slice(0, MAX_ROWS_PER_CALL / 2) ?? [this.#createStateChange(head)]
    const written = await store.append(head, missing)
    if (written.isOk) events.emit(CONTROL_EVENTS.configRepaired, { from: head.version, to: missing.at(-1)!.version })
    return this.#ignoreConflict(written)
  }

  /** The newest version as one change with the whole state, for a store that is further behind than the log reaches. */
  #createStateChange (head: StoredHead): LoggedChange {
    const { state } = this.#options.log
    const author = state.author!
    return { version: state.version, author, writeId: state.writeId, previous: head.writeId, changes: [], latches: [], merged: [], state }
  }

  /** Merges the local history with the store's when each has accepted changes that the other lacks. */
  async #mergeHistories (head: StoredHead): Promise<Result<unknown, StoreError>> {
    const { log, store, events } = this.#options
    // Starts well below both heads, so that the rows include the newest common version.
    const first = Math.max(1, Math.min(log.state.version, head.version) - MAX_ROWS_PER_CALL / 2)
    const rows = await store.readChanges(first, head.version)
    if (rows.isErr) return rows
    const mergeChange = this.#createMergeChange(head, rows.value)
    if (mergeChange === undefined) return Result.err(UNSETTLED)
    const written = await store.append(head, [mergeChange])
    if (written.isOk) events.emit(CONTROL_EVENTS.configForked, { version: mergeChange.version, joined: mergeChange.merged?.length })
    return this.#ignoreConflict(written)
  }

  #createMergeChange (head: StoredHead, rows: readonly LoggedChange[]): LoggedChange | undefined {
    const { log, newWriteId } = this.#options
    const common = rows.findLast((row) => log.has(row.writeId))?.version ?? (rows[0]?.version === 1 ? 0 : undefined)
    const start = common === undefined ? undefined : log.stateAt(common)
    const own = common === undefined ? undefined : log.since(common)
    if (start === undefined || own === undefined || own.length === 0 || rows.at(-1)?.writeId !== head.writeId) return undefined
    const version = Math.max(head.version, log.state.version) + 1
    const theirChanges = rows.filter((row) => row.version > start.version)
    const theirs = replay(start, theirChanges)
    const changes = applicableChanges(theirs.config, own.flatMap((change) => change.changes), version)
    const latches = own.flatMap((change) => change.latches)
    const author = log.state.author!
    const merged = [...own, ...theirChanges].map((change) => change.writeId)
    const mergeChange: LoggedChange = { version, author, writeId: newWriteId(), previous: head.writeId, changes, latches, merged }
    return { ...mergeChange, state: replay(theirs, [mergeChange]) }
  }

  /** Treats a conflict or a lost answer as success: the next read of the head shows which write won. */
  #ignoreConflict (written: Result<void, StoreError>): Result<unknown, StoreError> {
    return written.isErr && written.error.kind === 'unavailable' ? written : Result.ok(undefined)
  }
}

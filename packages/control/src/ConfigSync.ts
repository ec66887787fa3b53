import { isJsonObject } from '@papayahill/common'
import type { EventLog, InstanceId, Json } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { StoreError } from '@papayahill/stores'
import type { OperatorConfig } from '@papayahill/settings'
import { Result } from 'true-myth'
import { applyChanges } from './actions/applyChanges.js'
import { replay } from './ChangeLog.js'
import type { ChangeLog } from './ChangeLog.js'
import type { ConfigStore, ReadHead } from './ConfigStore.js'
import { ASK_TIMEOUT, MAX_ASKED_PEERS, MAX_ROWS_PER_CALL, MAX_UPDATE_TRIES } from './constants.js'
import { CONTROL_EVENTS } from './events.js'
import { decodeLogged, decodeState, encodeLogged, encodeState } from './logRecords.js'
import type { LoggedChange, WriteId } from './logRecords.js'
import type { ConfigChange } from './types.js'

/** Changes that one answer to a peer carries at most. */
const MAX_SENT_CHANGES = 32
const UNSETTLED: StoreError = { kind: 'unavailable', detail: 'the configuration log kept changing while it was read' }

export interface ConfigSyncOptions {
  readonly log: ChangeLog
  readonly store: ConfigStore
  readonly peers: Peers
  readonly events: EventLog
  readonly newWriteId: () => WriteId
  /** Called after the log has moved to a newer version. */
  readonly onMoved: () => void
}

/** The part of `changes` that still fits on top of a configuration, in order. */
const fitting = (config: OperatorConfig, changes: readonly ConfigChange[], version: number): readonly ConfigChange[] => {
  let current = config
  return changes.filter((change) => {
    const applied = applyChanges(current, [change], version)
    current = applied.unwrapOr(current)
    return applied.isOk
  })
}

/** Brings the log here, the store's and the peers' together; what was accepted is never dropped. */
export class ConfigSync {
  readonly #options: ConfigSyncOptions

  constructor (options: ConfigSyncOptions) {
    this.#options = options
  }

  /** Reads the head and acts until the store and this instance agree; the head they agree on. */
  async reconcile (): Promise<Result<ReadHead, StoreError>> {
    for (let tries = 0; tries < MAX_UPDATE_TRIES; tries++) {
      const head = await this.#options.store.readHead()
      if (head.isErr) return head
      if (this.#isAgreed(head.value)) return head
      const step = await this.#approach(head.value)
      if (step.isErr) return Result.err(step.error)
    }
    return Result.err(UNSETTLED)
  }

  /** Applies changes that came from a peer, as far as they follow on each other. */
  take (changes: readonly LoggedChange[]): void {
    const { log } = this.#options
    const before = log.state.version
    for (const change of changes) if (log.isNext(change)) log.append(change)
    if (log.state.version > before) this.#options.onMoved()
  }

  /** Asks all reachable peers, and takes over what the most advanced knows more; whether any answered. */
  async askPeers (): Promise<boolean> {
    const { peers } = this.#options
    const reachable = peers.members().map((member) => member.id).filter((id) => peers.isConnected(id)).slice(0, MAX_ASKED_PEERS)
    const answers = await Promise.all(reachable.map((id) => this.askPeer(id)))
    return answers.includes(true)
  }

  /** Takes over from one peer what it knows more; false where it gave no answer. */
  async askPeer (id: InstanceId): Promise<boolean> {
    const { log, peers } = this.#options
    for (;;) {
      const { version, writeId } = log.state
      const answer = await peers.ask(id, 'config', { kind: 'since', version, writeId }, ASK_TIMEOUT)
      if (answer.isErr || !isJsonObject(answer.value)) return false
      this.#takeAnswer(answer.value)
      if (log.state.version === version) return answer.value['version'] !== 0
    }
  }

  /** What a peer that stands at `version` is told. */
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

  #takeAnswer (answer: { readonly [key: string]: Json }): void {
    const { log, onMoved } = this.#options
    const { changes } = answer
    const state = decodeState(answer['state'])
    if (state !== undefined && state.version > log.state.version) {
      log.reset(state)
      onMoved()
    } else if (Array.isArray(changes)) {
      this.take(changes.map((change: Json) => decodeLogged(change)).filter((change) => change !== undefined))
    }
  }

  #isAgreed (head: ReadHead): boolean {
    const { state } = this.#options.log
    return head.version === state.version && head.writeId === state.writeId
  }

  async #approach (head: ReadHead): Promise<Result<unknown, StoreError>> {
    const { log } = this.#options
    const { state } = log
    if (head.version < state.version) {
      const isOwnHistory = log.has(head.writeId) || log.since(head.version) === undefined
      return isOwnHistory ? await this.#repair(head) : await this.#join(head)
    }
    const pulled = await this.#pull(head)
    if (pulled.isErr || pulled.value) return pulled
    return await this.#join(head)
  }

  /** Takes newer versions over from the store; false where they do not follow on what is known here. */
  async #pull (head: ReadHead): Promise<Result<boolean, StoreError>> {
    const { log, store, onMoved } = this.#options
    const { version, writeId } = log.state
    const rows = await store.readChanges(Math.max(1, version), head.version)
    if (rows.isErr) return Result.err(rows.error)
    this.take(rows.value)
    if (log.state.version > version) return Result.ok(true)
    const own = rows.value.find((change) => change.version === version)
    if (own !== undefined && own.writeId !== writeId) return Result.ok(false)
    const snapshot = await store.readSnapshot(head.snapshot)
    if (snapshot === undefined || snapshot.version <= version) return Result.ok(false)
    log.reset(snapshot)
    onMoved()
    return Result.ok(true)
  }

  /** Puts the changes back that a restored store lacks. */
  async #repair (head: ReadHead): Promise<Result<unknown, StoreError>> {
    const { log, store, events } = this.#options
    const missing = log.since(head.version)?.slice(0, MAX_ROWS_PER_CALL / 2) ?? [this.#wholeState(head)]
    const written = await store.append(head, missing)
    if (written.isOk) events.emit(CONTROL_EVENTS.configRepaired, { from: head.version, to: missing.at(-1)!.version })
    return this.#unlessConflict(written)
  }

  /** The newest version as one row, for a store that is further back than the log here. */
  #wholeState (head: ReadHead): LoggedChange {
    const { state } = this.#options.log
    const author = state.author!
    return { version: state.version, author, writeId: state.writeId, previous: head.writeId, changes: [], latches: [], merged: [], state }
  }

  /** Joins this instance's history and the store's, which both have accepted changes that the other lacks. */
  async #join (head: ReadHead): Promise<Result<unknown, StoreError>> {
    const { log, store, events } = this.#options
    const first = Math.max(1, Math.min(log.state.version, head.version) - MAX_ROWS_PER_CALL / 2)
    const rows = await store.readChanges(first, head.version)
    if (rows.isErr) return rows
    const joined = this.#joinedChange(head, rows.value)
    if (joined === undefined) return Result.err(UNSETTLED)
    const written = await store.append(head, [joined])
    if (written.isOk) events.emit(CONTROL_EVENTS.configForked, { version: joined.version, joined: joined.merged?.length })
    return this.#unlessConflict(written)
  }

  #joinedChange (head: ReadHead, rows: readonly LoggedChange[]): LoggedChange | undefined {
    const { log, newWriteId } = this.#options
    const common = rows.findLast((row) => log.has(row.writeId))?.version ?? (rows[0]?.version === 1 ? 0 : undefined)
    const start = common === undefined ? undefined : log.stateAt(common)
    const own = common === undefined ? undefined : log.since(common)
    if (start === undefined || own === undefined || own.length === 0 || rows.at(-1)?.writeId !== head.writeId) return undefined
    const version = Math.max(head.version, log.state.version) + 1
    const theirChanges = rows.filter((row) => row.version > start.version)
    const theirs = replay(start, theirChanges)
    const changes = fitting(theirs.config, own.flatMap((change) => change.changes), version)
    const latches = own.flatMap((change) => change.latches)
    const author = log.state.author!
    const merged = [...own, ...theirChanges].map((change) => change.writeId)
    const joined: LoggedChange = { version, author, writeId: newWriteId(), previous: head.writeId, changes, latches, merged }
    return { ...joined, state: replay(theirs, [joined]) }
  }

  /** A lost race is no failure here: the next look at the head shows who won. */
  #unlessConflict (written: Result<void, StoreError>): Result<unknown, StoreError> {
    return written.isErr && written.error.kind === 'unavailable' ? written : Result.ok(undefined)
  }
}

import { failure, refusal } from '@papayahill/common'
import type { EventLog, Failure, OperatorName } from '@papayahill/common'
import type { StoreError } from '@papayahill/stores'
import { checkConfig, formatFault } from '@papayahill/settings'
import type { OperatorConfig } from '@papayahill/settings'
import { Result } from 'true-myth'
import { applyChanges } from './actions/applyChanges.js'
import type { ChangeLog } from './ChangeLog.js'
import type { ConfigStore, ReadHead } from './ConfigStore.js'
import type { ConfigSync } from './ConfigSync.js'
import { MAX_UPDATE_TRIES } from './constants.js'
import { CONTROL_EVENTS } from './events.js'
import type { LatchBook } from './LatchBook.js'
import type { Latch, LoggedChange, WriteId } from './logRecords.js'
import type { Accepted, ConfigChange } from './types.js'

export interface ConfigAcceptorOptions {
  readonly log: ChangeLog
  readonly store: ConfigStore
  readonly sync: ConfigSync
  readonly latches: LatchBook
  readonly events: EventLog
  readonly newWriteId: () => WriteId
  readonly onAccepted: () => void
}

interface Proposal {
  readonly changes: readonly ConfigChange[]
  readonly author: OperatorName
  readonly writeId: WriteId
  readonly latches: readonly WriteId[]
  readonly base: number | undefined
}

/** The parts of a configuration must fit each other; the error names each place where they do not. */
const fitsTogether = (config: OperatorConfig): Result<OperatorConfig, string> => {
  const faults = checkConfig(config)
  return faults.length === 0 ? Result.ok(config) : Result.err(faults.map(formatFault).join('; '))
}

/** Has changes accepted: committed to the log in the store, after everything that was accepted before. */
export class ConfigAcceptor {
  readonly #options: ConfigAcceptorOptions

  constructor (options: ConfigAcceptorOptions) {
    this.#options = options
  }

  async accept (changes: readonly ConfigChange[], author: OperatorName, base?: number): Promise<Result<Accepted, Failure>> {
    return await this.#run({ changes, author, writeId: this.#options.newWriteId(), latches: [], base })
  }

  /** Has a latched domain-out recorded; true once the log shows it. */
  async record (latch: Latch): Promise<boolean> {
    if (this.#options.latches.isRecorded(latch.id)) return true
    const change: ConfigChange = { kind: 'domain-out', domain: latch.domain }
    const proposal = { changes: [change], author: latch.author, writeId: latch.id, latches: [latch.id], base: undefined }
    const accepted = await this.#run(proposal)
    return accepted.isOk
  }

  conflict (): Failure {
    const { version, author } = this.#options.log.state
    this.#options.events.emit(CONTROL_EVENTS.configConflict, { version, author })
    return refusal('conflict', `version ${version} by ${author ?? 'nobody'} came first; look at it and propose again on top of it`)
  }

  /** Tries until the change is in the log, is refused, or the store stays away. */
  async #run (proposal: Proposal): Promise<Result<Accepted, Failure>> {
    let mayBeWritten = false
    for (let tries = 0; tries < MAX_UPDATE_TRIES; tries++) {
      const head = await this.#agree()
      if (head.isErr) return Result.err(this.#unreachable(head.error, mayBeWritten))
      if (this.#isInLog(proposal)) return mayBeWritten ? this.#accepted(proposal) : Result.ok(this.#inLog(proposal))
      const logged = this.#check(proposal)
      if (logged.isErr) return Result.err(logged.error)
      const written = await this.#options.store.append(head.value, [logged.value])
      if (written.isOk) {
        // Peers may have brought this version, and later ones, before the store's answer came.
        if (this.#options.log.isNext(logged.value)) this.#options.log.append(logged.value)
        if (this.#isInLog(proposal)) return this.#accepted(proposal)
      }
      mayBeWritten ||= written.isOk || written.error.kind === 'unknown'
      if (written.isOk) continue
      if (written.error.kind === 'unavailable') return Result.err(this.#unreachable(written.error, mayBeWritten))
    }
    const detail = 'other changes kept coming first; try again'
    return Result.err(mayBeWritten ? failure('outcome-unknown', detail, 'unknown') : refusal('conflict', detail))
  }

  /** The head, once neither the store nor any reachable peer knows more than this instance. */
  async #agree (): Promise<Result<ReadHead, StoreError>> {
    const { sync, log } = this.#options
    await sync.askPeers()
    const { version } = log.state
    const head = await sync.reconcile()
    return head.isOk && head.value.version < version ? await sync.reconcile() : head
  }

  /** A write whose answer was lost shows in the log under its id. */
  #isInLog (proposal: Proposal): boolean {
    const { log, latches } = this.#options
    return log.has(proposal.writeId) || proposal.latches.some((id) => latches.isRecorded(id))
  }

  #check (proposal: Proposal): Result<LoggedChange, Failure> {
    const { state } = this.#options.log
    if (proposal.base !== undefined && proposal.base !== state.version) return Result.err(this.conflict())
    const version = state.version + 1
    const { changes, author, writeId, latches } = proposal
    return applyChanges(state.config, changes, version)
      .andThen(fitsTogether)
      .map((): LoggedChange => ({ version, author, writeId, previous: state.writeId, changes, latches }))
      .mapErr((detail) => refusal('invalid-change', detail))
  }

  #accepted (proposal: Proposal): Result<Accepted, Failure> {
    const { log, store, events, onAccepted } = this.#options
    const accepted = this.#inLog(proposal)
    events.emit(CONTROL_EVENTS.configAccepted, { version: accepted.version, author: proposal.author })
    onAccepted()
    void store.snapshot(log.state)
    return Result.ok(accepted)
  }

  #inLog (proposal: Proposal): Accepted {
    const { log } = this.#options
    return { version: log.versionOf(proposal.writeId) ?? log.state.version, isRecorded: true }
  }

  #unreachable (error: StoreError, mayBeWritten: boolean): Failure {
    if (mayBeWritten) {
      return failure('outcome-unknown', 'the store stopped answering during the write; look at the configuration before you try again', 'unknown')
    }
    return refusal('store-unavailable', `the change was not accepted: ${error.kind === 'conflict' ? 'conflict' : error.detail}`)
  }
}

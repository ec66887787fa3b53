import { failure, refusal } from '@papayahill/common'
import type { EventLog, Failure, OperatorName } from '@papayahill/common'
import type { StoreError } from '@papayahill/stores'
import { checkConfig, formatFault } from '@papayahill/settings'
import type { OperatorConfig } from '@papayahill/settings'
import { Result } from 'true-myth'
import { applyChanges } from './actions/applyChanges.js'
import type { ChangeLog } from './ChangeLog.js'
import type { ConfigStore, StoredHead } from './ConfigStore.js'
import type { ConfigSync } from './ConfigSync.js'
import { MAX_UPDATE_TRIES } from './constants.js'
import { CONTROL_EVENTS } from './events.js'
import type { LatchRegistry } from './LatchRegistry.js'
import type { Latch, LoggedChange, WriteId } from './logRecords.js'
import type { Accepted, ConfigChange } from './types.js'

export interface ConfigAcceptorOptions {
  readonly log: ChangeLog
  readonly store: ConfigStore
  readonly sync: ConfigSync
  readonly latches: LatchRegistry
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

/** Checks that the parts of a configuration are consistent; the error lists each inconsistency. */
const checkConsistency = (config: OperatorConfig): Result<OperatorConfig, string> => {
  const faults = checkConfig(config)
  return faults.length === 0 ? Result.ok(config) : Result.err(faults.map(formatFault).join('; '))
}

/** Commits proposed changes to the log in the store, after all changes accepted before. */
export class ConfigAcceptor {
  readonly #options: ConfigAcceptorOptions

  constructor (options: ConfigAcceptorOptions) {
    this.#options = options
  }

  async accept (changes: readonly ConfigChange[], author: OperatorName, base?: number): Promise<Result<Accepted, Failure>> {
    return await this.#tryCommit({ changes, author, writeId: this.#options.newWriteId(), latches: [], base })
  }

  /** Records a latched domain-out; true once the log contains it. */
  async recordLatch (latch: Latch): Promise<boolean> {
    if (this.#options.latches.isRecorded(latch.id)) return true
    const change: ConfigChange = { kind: 'domain-out', domain: latch.domain }
    const proposal = { changes: [change], author: latch.author, writeId: latch.id, latches: [latch.id], base: undefined }
    const accepted = await this.#tryCommit(proposal)
    return accepted.isOk
  }

  /** Logs a conflict and returns the failure for the author of the rejected proposal. */
  conflict (): Failure {
    const { version, author } = this.#options.log.state
    this.#options.events.emit(CONTROL_EVENTS.configConflict, { version, author })
    return refusal('conflict', `version ${version} by ${author ?? 'nobody'} was accepted first; review it and propose the change again`)
  }

  /** Retries until the change is in the log, is rejected, or the store is unavailable. */
  async #tryCommit (proposal: Proposal): Promise<Result<Accepted, Failure>> {
    let mayBeWritten = false
    for (let tries = 0; tries < MAX_UPDATE_TRIES; tries++) {
      const head = await this.#readAgreedHead()
      if (head.isErr) return Result.err(this.#storeFailure(head.error, mayBeWritten))
      if (this.#isInLog(proposal)) return mayBeWritten ? this.#completeAccepted(proposal) : Result.ok(this.#acceptedVersion(proposal))
      const logged = this.#validate(proposal)
      if (logged.isErr) return Result.err(logged.error)
      const written = await this.#options.store.append(head.value, [logged.value])
      if (written.isOk) {
        // Peers may have delivered this version and later ones before the store answered.
        if (this.#options.log.isNext(logged.value)) this.#options.log.append(logged.value)
        if (this.#isInLog(proposal)) return this.#completeAccepted(proposal)
      }
      mayBeWritten ||= written.isOk || written.error.kind === 'unknown'
      if (written.isOk) continue
      if (written.error.kind === 'unavailable') return Result.err(this.#storeFailure(written.error, mayBeWritten))
    }
    const detail = 'other changes were accepted first on every attempt; try again'
    return Result.err(mayBeWritten ? failure('outcome-unknown', detail, 'unknown') : refusal('conflict', detail))
  }

  /** Reads the head after catching up with reachable peers and the store. */
  async #readAgreedHead (): Promise<Result<StoredHead, StoreError>> {
    const { sync, log } = this.#options
    await sync.askPeers()
    const { version } = log.state
    const head = await sync.reconcile()
    return head.isOk && head.value.version < version ? await sync.reconcile() : head
  }

  /** Whether the log contains the proposal. It finds a write whose answer was lost by its write id. */
  #isInLog (proposal: Proposal): boolean {
    const { log, latches } = this.#options
    return log.has(proposal.writeId) || proposal.latches.some((id) => latches.isRecorded(id))
  }

  #validate (proposal: Proposal): Result<LoggedChange, Failure> {
    const { state } = this.#options.log
    if (proposal.base !== undefined && proposal.base !== state.version) return Result.err(this.conflict())
    const version = state.version + 1
    const { changes, author, writeId, latches } = proposal
    return applyChanges(state.config, changes, version)
      .andThen(checkConsistency)
      .map((): LoggedChange => ({ version, author, writeId, previous: state.writeId, changes, latches }))
      .mapErr((detail) => refusal('invalid-change', detail))
  }

  #completeAccepted (proposal: Proposal): Result<Accepted, Failure> {
    const { log, store, events, onAccepted } = this.#options
    const accepted = this.#acceptedVersion(proposal)
    events.emit(CONTROL_EVENTS.configAccepted, { version: accepted.version, author: proposal.author })
    onAccepted()
    void store.snapshotIfDue(log.state)
    return Result.ok(accepted)
  }

  #acceptedVersion (proposal: Proposal): Accepted {
    const { log } = this.#options
    return { version: log.versionOf(proposal.writeId) ?? log.state.version, isRecorded: true }
  }

  #storeFailure (error: StoreError, mayBeWritten: boolean): Failure {
    if (mayBeWritten) {
      return failure('outcome-unknown', 'the store stopped answering during the write; check the configuration before you try again', 'unknown')
    }
    return refusal('store-unavailable', `the change was not accepted: ${error.kind === 'conflict' ? 'conflict' : error.detail}`)
  }
}

import { EMPTY_CONFIG } from '@papayahill/settings'
import { applyChanges } from './actions/applyChanges.js'
import { MAX_LOG_CHANGES, MAX_RECORDED_LATCHES } from './constants.js'
import type { ConfigState, LoggedChange, WriteId } from './logRecords.js'

export const INITIAL_STATE: ConfigState = { version: 0, author: undefined, writeId: '', config: EMPTY_CONFIG, recorded: [] }

/** The state after one more version. Changes that do not apply were rejected before they were accepted. */
const advance = (state: ConfigState, logged: LoggedChange): ConfigState => {
  if (logged.state !== undefined) return logged.state
  return {
    version: logged.version,
    author: logged.author,
    writeId: logged.writeId,
    config: applyChanges(state.config, logged.changes, logged.version).unwrapOr(state.config),
    recorded: [...state.recorded, ...logged.latches].slice(-MAX_RECORDED_LATCHES)
  }
}

/**
 * One instance's copy of the configuration log: the current state and the newest changes that led to it.
 * The version never decreases.
 */
export class ChangeLog {
  #base: ConfigState = INITIAL_STATE
  #state: ConfigState = INITIAL_STATE
  readonly #changes: LoggedChange[] = []

  get state (): ConfigState {
    return this.#state
  }

  get recentChanges (): readonly LoggedChange[] {
    return this.#changes
  }

  /** Write id of a version; undefined if this log does not contain it. */
  writeIdAt (version: number): WriteId | undefined {
    if (version === this.#base.version) return this.#base.writeId
    return this.#changes.find((change) => change.version === version)?.writeId
  }

  has (writeId: WriteId): boolean {
    return writeId === this.#base.writeId || this.versionOf(writeId) !== undefined
  }

  /** First version that includes a write; undefined if this log does not contain it. */
  versionOf (writeId: WriteId): number | undefined {
    return this.#changes.find((change) => change.writeId === writeId || change.merged?.includes(writeId))?.version
  }

  /** Whether a change is based on the current state, so that it can be appended. */
  isNext (logged: LoggedChange): boolean {
    if (logged.version <= this.#state.version) return false
    return logged.previous === this.#state.writeId || (logged.merged?.includes(this.#state.writeId) ?? false)
  }

  append (logged: LoggedChange): void {
    this.#state = advance(this.#state, logged)
    this.#changes.push(logged)
    if (this.#changes.length > MAX_LOG_CHANGES) this.#dropOldest()
  }

  /** Replaces the state by a newer one and clears the changes. */
  reset (state: ConfigState): void {
    if (state.version <= this.#state.version) return
    this.#base = state
    this.#state = state
    this.#changes.length = 0
  }

  /** The changes after `version`; undefined if the log does not reach back that far. */
  since (version: number): readonly LoggedChange[] | undefined {
    if (version < this.#base.version) return undefined
    return this.#changes.filter((change) => change.version > version)
  }

  /** The state at an earlier version; undefined if the log does not reach back that far. */
  stateAt (version: number): ConfigState | undefined {
    if (version < this.#base.version) return undefined
    return this.#changes.filter((change) => change.version <= version).reduce(advance, this.#base)
  }

  #dropOldest (): void {
    const [oldest] = this.#changes.splice(0, 1)
    if (oldest !== undefined) this.#base = advance(this.#base, oldest)
  }
}

/** Applies `changes` to `state`, for a history other than this instance's own. */
export const replay = (state: ConfigState, changes: readonly LoggedChange[]): ConfigState => changes.reduce(advance, state)

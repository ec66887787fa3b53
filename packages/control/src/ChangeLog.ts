import { EMPTY_CONFIG } from '@papayahill/settings'
import { applyChanges } from './actions/applyChanges.js'
import { MAX_LOG_CHANGES, MAX_RECORDED_LATCHES } from './constants.js'
import type { ConfigState, LoggedChange, WriteId } from './logRecords.js'

export const FIRST_STATE: ConfigState = { version: 0, author: undefined, writeId: '', config: EMPTY_CONFIG, recorded: [] }

/** The state after one more version. A change that does not fit was refused before it was accepted. */
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
 * The configuration as one instance knows it: a state, and the newest changes that led to it.
 * The version only rises.
 */
export class ChangeLog {
  #base: ConfigState = FIRST_STATE
  #state: ConfigState = FIRST_STATE
  readonly #changes: LoggedChange[] = []

  get state (): ConfigState {
    return this.#state
  }

  get newest (): readonly LoggedChange[] {
    return this.#changes
  }

  /** Write id of a version, or undefined where this log does not reach it. */
  writeIdAt (version: number): WriteId | undefined {
    if (version === this.#base.version) return this.#base.writeId
    return this.#changes.find((change) => change.version === version)?.writeId
  }

  has (writeId: WriteId): boolean {
    return writeId === this.#base.writeId || this.versionOf(writeId) !== undefined
  }

  /** Version from which on a write is in force, as far as this log reaches. */
  versionOf (writeId: WriteId): number | undefined {
    return this.#changes.find((change) => change.writeId === writeId || change.merged?.includes(writeId))?.version
  }

  /** Whether a change stands on what is known here, so that it may be applied. */
  isNext (logged: LoggedChange): boolean {
    if (logged.version <= this.#state.version) return false
    return logged.previous === this.#state.writeId || (logged.merged?.includes(this.#state.writeId) ?? false)
  }

  append (logged: LoggedChange): void {
    this.#state = advance(this.#state, logged)
    this.#changes.push(logged)
    if (this.#changes.length > MAX_LOG_CHANGES) this.#dropOldest()
  }

  /** Takes over a newer whole state. */
  reset (state: ConfigState): void {
    if (state.version <= this.#state.version) return
    this.#base = state
    this.#state = state
    this.#changes.length = 0
  }

  /** The changes after `version`, or undefined where the log does not reach back so far. */
  since (version: number): readonly LoggedChange[] | undefined {
    if (version < this.#base.version) return undefined
    return this.#changes.filter((change) => change.version > version)
  }

  /** The state at an earlier version that the log still reaches. */
  stateAt (version: number): ConfigState | undefined {
    if (version < this.#base.version) return undefined
    return this.#changes.filter((change) => change.version <= version).reduce(advance, this.#base)
  }

  #dropOldest (): void {
    const [oldest] = this.#changes.splice(0, 1)
    if (oldest !== undefined) this.#base = advance(this.#base, oldest)
  }
}

/** The state that `changes` lead to from `state`, for a history that is not this instance's own. */
export const replay = (state: ConfigState, changes: readonly LoggedChange[]): ConfigState => changes.reduce(advance, state)

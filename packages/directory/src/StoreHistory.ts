import type { EventLog } from '@papayahill/common'
import { DIRECTORY_EVENTS } from './events.js'

/**
 * The newest era of the store's history that this instance knows of, from the store's answers or from another instance.
 * A store that comes back from an older copy begins a new era: its revisions go back and are given out again, so that a
 * revision says nothing without its era.
 *
 * @example
 * const history = new StoreHistory(log)
 * history.onRestored(() => registerAgain())
 * history.note(era)
 */
export class StoreHistory {
  readonly #log: EventLog
  readonly #listeners: Array<(era: number) => void> = []
  #era: number | undefined

  constructor (log: EventLog) {
    this.#log = log
  }

  /** The newest known era; undefined before the first answer. */
  get era (): number | undefined {
    return this.#era
  }

  /** Calls the listener when an era begins; what this instance has written may be lost then. */
  onRestored (listener: (era: number) => void): void {
    this.#listeners.push(listener)
  }

  /** Records that an answer or a message is of an era. */
  note (era: number): void {
    const known = this.#era
    if (known !== undefined && era <= known) return
    this.#era = era
    if (known === undefined) return
    this.#log.emit(DIRECTORY_EVENTS.storeRestored, { era, before: known })
    for (const listener of this.#listeners) listener(era)
  }
}

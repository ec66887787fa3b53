import type { FencingToken, LeaseChange } from './types.js'

/** Tells listeners of changes of the holder, and of a new token of this instance. */
export class LeaseChanges {
  readonly #listeners: Array<(change: LeaseChange) => void> = []
  #told = ''

  add (listener: (change: LeaseChange) => void): void {
    this.#listeners.push(listener)
  }

  /** Calls the listeners if anything has changed since the last time. */
  tell ({ holder, isHeld }: LeaseChange, token: FencingToken | undefined): void {
    const state = `${holder?.incarnation} ${isHeld} ${token}`
    if (state === this.#told) return
    this.#told = state
    for (const listener of this.#listeners) listener({ holder, isHeld })
  }
}

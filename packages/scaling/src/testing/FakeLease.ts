import { brand } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { FencingToken } from '@papayahill/duties'
import type { ScalingLease } from '../types.js'

/**
 * A lease that a test gives and takes.
 *
 * @example
 * lease.give(7)
 */
export class FakeLease implements ScalingLease {
  readonly #listeners: Array<() => void> = []
  #token: number | undefined
  /** Time left of the lease. */
  timeLeft = Infinity

  get isHeld (): boolean {
    return this.#token !== undefined
  }

  permit (span: Millis): FencingToken | undefined {
    return this.#token === undefined || this.timeLeft < span ? undefined : brand<FencingToken>(this.#token)
  }

  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** Gives the lease under a token; the listeners may not have been called yet when it is used. */
  give (token: number, notifies = true): void {
    this.#token = token
    if (notifies) this.#notify()
  }

  take (): void {
    this.#token = undefined
    this.#notify()
  }

  #notify (): void {
    for (const listener of this.#listeners) listener()
  }
}

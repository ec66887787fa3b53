import { millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { MAX_HELD_LOSSES, MAX_JUDGE_TIME, MIN_HELD_TIME } from './constants.js'

interface HeldLoss {
  readonly endpoint: Endpoint
  readonly at: Millis
  readonly tell: () => void
}

/**
 * What lost calls show, held back until it is known whether this instance was cut off: on a cut, the calls to all
 * endpoints are lost, as if all had crashed at once.
 *
 * @example
 * held.add(endpoint, () => noteCrash())
 * held.tellBefore(now) // once an endpoint was reached
 */
export class HeldLosses {
  readonly #clock: Clock
  /** Whether it is still open if this instance is or was cut off. */
  readonly #isOpen: () => boolean
  #losses: HeldLoss[] = []

  constructor (clock: Clock, isOpen: () => boolean) {
    this.#clock = clock
    this.#isOpen = isOpen
  }

  add (endpoint: Endpoint, tell: () => void): void {
    const loss: HeldLoss = { endpoint, at: this.#clock.now(), tell }
    if (this.#losses.length >= MAX_HELD_LOSSES) this.#losses.shift()
    this.#losses.push(loss)
    this.#tellInTime(loss)
  }

  get size (): number {
    return this.#losses.length
  }

  /** A connection opened at this time: this instance was not cut off before. */
  tellBefore (openedAt: Millis): void {
    this.#settle(({ at }) => at <= openedAt)
  }

  /** Bytes came from an endpoint: what others have lost before is their own. */
  noteBytes (from: Endpoint): void {
    if (this.#losses.length === 0) return
    const before = millis(this.#clock.now() - MIN_HELD_TIME)
    this.#settle(({ endpoint, at }) => endpoint !== from && at <= before)
  }

  /** A cut is over: what it had to do with is dropped, and the rest is told. */
  endCut (isAlive: (endpoint: Endpoint, since: Millis) => boolean): void {
    this.#losses = this.#losses.filter(({ endpoint, at }) => !isAlive(endpoint, at))
    this.#settle(() => true)
  }

  #settle (isTold: (loss: HeldLoss) => boolean): void {
    if (this.#losses.length === 0) return
    const told = this.#losses.filter(isTold)
    this.#losses = this.#losses.filter((loss) => !told.includes(loss))
    for (const { tell } of told) tell()
  }

  #tellInTime (loss: HeldLoss): void {
    this.#clock.after(MAX_JUDGE_TIME, () => {
      if (!this.#losses.includes(loss)) return
      if (this.#isOpen()) this.#tellInTime(loss)
      else this.#settle((other) => other === loss)
    })
  }
}

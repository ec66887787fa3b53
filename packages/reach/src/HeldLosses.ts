import { millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import { HEAL_GRACE, MAX_JUDGE_TIME } from './constants.js'

/**
 * What lost calls show, held back until it is known whether this instance was cut off: on a cut, the calls to all
 * endpoints are lost, as if all had crashed at once.
 *
 * @example
 * held.add(() => noteCrash())
 * held.tellAll() // once an endpoint was reached
 */
export class HeldLosses {
  readonly #clock: Clock
  /** Whether it is still open if this instance is cut off. */
  readonly #isOpen: () => boolean
  #tells: Array<() => void> = []
  #droppedUntil: Millis = millis(0)

  constructor (clock: Clock, isOpen: () => boolean) {
    this.#clock = clock
    this.#isOpen = isOpen
  }

  add (tell: () => void): void {
    if (this.#clock.now() < this.#droppedUntil) return
    this.#tells.push(tell)
    this.#tellAfter(tell, MAX_JUDGE_TIME)
  }

  /** This instance is not cut off. */
  tellAll (): void {
    if (this.#tells.length === 0) return
    for (const tell of this.#tells.splice(0)) tell()
  }

  /** This instance is cut off. */
  dropAll (): void {
    this.#tells = []
    this.#droppedUntil = millis(Infinity)
  }

  /** The cut has ended; losses that it has caused may still come for a while. */
  endCut (): void {
    this.#droppedUntil = millis(this.#clock.now() + HEAL_GRACE)
  }

  #tellAfter (tell: () => void, span: Millis): void {
    this.#clock.after(span, () => {
      const at = this.#tells.indexOf(tell)
      if (at < 0) return
      if (this.#isOpen()) return this.#tellAfter(tell, span)
      this.#tells.splice(at, 1)
      tell()
    })
  }
}

import type { Random } from '@papayahill/common'

const HALF = 0.5

/**
 * Picks a share of calls evenly: one call in each block of `1 / share`, at a random place in it. So the
 * number picked never strays from the share by more than one, and no pattern of callers can meet it.
 *
 * @example
 * const splitter = new ShareSplitter(random)
 * splitter.pick(0.02) // true for one call in fifty
 */
export class ShareSplitter {
  readonly #random: Random
  /** Where in the block the next call begins, from 0 to 1. */
  #position = 0
  /** Where in the block its picked place lies, from 0 to 1. The first lies late: many splitters start at once. */
  #place: number

  constructor (random: Random) {
    this.#random = random
    this.#place = HALF + HALF * random.next()
  }

  pick (share: number): boolean {
    if (share <= 0) return false
    if (share >= 1) return true
    return share > HALF ? !this.#pickMinor(1 - share) : this.#pickMinor(share)
  }

  #pickMinor (share: number): boolean {
    const end = this.#position + share
    const isPicked = this.#position <= this.#place && this.#place < end
    this.#position = end
    if (end < 1) return isPicked
    return this.#beginBlock(end - 1, isPicked)
  }

  /** This call reaches `covered` into a new block; it may be picked there, but never twice. */
  #beginBlock (covered: number, isPicked: boolean): boolean {
    this.#position = covered
    const drawn = this.#random.next()
    this.#place = isPicked ? covered + (1 - covered) * drawn : drawn
    return isPicked || drawn < covered
  }
}

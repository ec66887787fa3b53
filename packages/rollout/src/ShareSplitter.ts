import type { Random } from '@papayahill/common'

const HALF = 0.5

/**
 * Picks a share of calls by stratified sampling: one call at a random position in each block of `1 / share` calls. The
 * number picked never deviates from the share by more than one, and the picks cannot align with a periodic call pattern.
 *
 * @example
 * const splitter = new ShareSplitter(random)
 * splitter.pick(0.02) // true for one call in fifty
 */
export class ShareSplitter {
  readonly #random: Random
  /** Position of the next call in the block, from 0 to 1. */
  #position = 0
  /** Position in the block to pick, from 0 to 1. The first one is in the second half, since many splitters start at once. */
  #pickAt: number

  constructor (random: Random) {
    this.#random = random
    this.#pickAt = HALF + HALF * random.next()
  }

  pick (share: number): boolean {
    if (share <= 0) return false
    if (share >= 1) return true
    return share > HALF ? !this.#pickMinor(1 - share) : this.#pickMinor(share)
  }

  #pickMinor (share: number): boolean {
    const end = this.#position + share
    const isPicked = this.#position <= this.#pickAt && this.#pickAt < end
    this.#position = end
    if (end < 1) return isPicked
    return this.#beginBlock(end - 1, isPicked)
  }

  /** This call covers the start of the next block up to `covered`; it may be picked there unless it already was. */
  #beginBlock (covered: number, isPicked: boolean): boolean {
    this.#position = covered
    const drawn = this.#random.next()
    this.#pickAt = isPicked ? covered + (1 - covered) * drawn : drawn
    return isPicked || drawn < covered
  }
}

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const WORD_RANGE = 2 ** 32

/** Seeded random number generator; the same seed gives the same sequence. */
export interface Random {
  /** Uniform in [0, 1). */
  next (): number
  /** Uniform integer in [0, limit). */
  below (limit: number): number
  /** An independent generator whose use does not change the sequence of this one. */
  fork (): Random
}

/**
 * @example
 * const random = new SeededRandom(7)
 * random.below(6)
 */
export class SeededRandom implements Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  next (): number {
    return (this.#generator.next() >>> 0) / WORD_RANGE
  }

  below (limit: number): number {
    return Math.floor(this.next() * limit)
  }

  fork (): Random {
    return new SeededRandom(this.#generator.next())
  }
}

/** Picks one item at random; undefined from an empty list. */
export const pickOne = <Item>(random: Random, items: readonly Item[]): Item | undefined =>
  items[random.below(items.length)]

/** An exponentially distributed random number with the given mean. */
export const exponential = (random: Random, mean: number): number => -Math.log(1 - random.next()) * mean

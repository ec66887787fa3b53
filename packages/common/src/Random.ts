import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const WORD_RANGE = 2 ** 32

/** Seeded source of randomness; the same seed gives the same run. */
export interface Random {
  /** Uniform in [0, 1). */
  next (): number
  /** Uniform whole number in [0, limit). */
  below (limit: number): number
  /** A source of its own, whose draws do not disturb this one's. */
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

/** Picks one item; undefined from an empty list. */
export const pickOne = <Item>(random: Random, items: readonly Item[]): Item | undefined =>
  items[random.below(items.length)]

/** An exponentially distributed span with the given mean, in the unit of the mean. */
export const exponential = (random: Random, mean: number): number => -Math.log(1 - random.next()) * mean

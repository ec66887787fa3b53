import type { Random } from '@papayahill/common'

/**
 * A set from which a few items are sampled, starting at a random position, in time independent of its size.
 *
 * @example
 * const list = new FreeList<string>()
 * list.add('a')
 * for (const item of list.probe(random, 4)) console.log(item)
 */
export class FreeList<Item> {
  readonly #items: Item[] = []
  readonly #places = new Map<Item, number>()

  get size (): number {
    return this.#items.length
  }

  add (item: Item): void {
    if (this.#places.has(item)) return
    this.#places.set(item, this.#items.length)
    this.#items.push(item)
  }

  delete (item: Item): void {
    const place = this.#places.get(item)
    if (place === undefined) return
    this.#places.delete(item)
    const last = this.#items.pop()!
    if (last === item) return
    this.#items[place] = last
    this.#places.set(last, place)
  }

  /** Up to `count` different items, starting at a random position. */
  probe (random: Random, count: number): readonly Item[] {
    const size = this.#items.length
    if (size === 0) return []
    const first = random.below(size)
    return Array.from({ length: Math.min(count, size) }, (_, step) => this.#items[(first + step) % size]!)
  }
}

import { rendezvousRank } from '@papayahill/common'

interface RankedPair<Item, Owner> {
  readonly item: Item
  readonly owner: Owner
  readonly rank: number
}

const nameOf = ({ item, owner }: RankedPair<string, string>): string => `${item} ${owner}`

/** Highest rank first; pairs of equal rank in an order that all instances find. */
const byRank = (left: RankedPair<string, string>, right: RankedPair<string, string>): number =>
  right.rank - left.rank || (nameOf(left) < nameOf(right) ? -1 : 1)

/**
 * Shares items out among owners by rendezvous hashing with bounded loads: each gets an even share, rounded up or down. All who
 * know the same items and owners find the same shares, and few other items move when an owner or an item comes or goes.
 *
 * @example
 * shares.update(['encode/0', 'encode/1'], [idOf('a'), idOf('b')])
 * shares.ownerOf('encode/0')
 */
export class EvenShares<Item extends string, Owner extends string> {
  #key: string | undefined
  readonly #owners = new Map<string, Owner>()
  readonly #counts = new Map<Owner, number>()

  /** Shares the items out anew if they or the owners have changed. */
  update (items: readonly Item[], owners: readonly Owner[]): void {
    const key = [...items.toSorted(), '', ...owners.toSorted()].join(' ')
    if (key === this.#key) return
    this.#key = key
    this.#owners.clear()
    this.#counts.clear()
    this.#share(items, owners)
  }

  #share (items: readonly Item[], owners: readonly Owner[]): void {
    const least = Math.floor(items.length / owners.length)
    /** Owners that may still get one item more than the least. */
    let withOneMore = items.length % owners.length
    const pairs = items.flatMap((item) => owners.map((owner) => ({ item, owner, rank: rendezvousRank(item, owner) })))
    for (const { item, owner } of pairs.sort(byRank)) {
      const count = this.countOf(owner)
      const isFull = count > least || (count === least && withOneMore === 0)
      if (this.#owners.has(item) || isFull) continue
      if (count === least) withOneMore--
      this.#owners.set(item, owner)
      this.#counts.set(owner, count + 1)
    }
  }

  /** The owner of an item; undefined if it is not shared out. */
  ownerOf (item: string): Owner | undefined {
    return this.#owners.get(item)
  }

  /** Number of items that an owner has. */
  countOf (owner: Owner): number {
    return this.#counts.get(owner) ?? 0
  }
}

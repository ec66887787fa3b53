import { rendezvousRank } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'

interface RankedPair {
  readonly group: string
  readonly id: InstanceId
  readonly rank: number
}

const nameOf = ({ group, id }: RankedPair): string => `${group} ${id}`

/** Highest rank first; pairs of equal rank in an order that all instances find. */
const byRank = (left: RankedPair, right: RankedPair): number =>
  right.rank - left.rank || (nameOf(left) < nameOf(right) ? -1 : 1)

/**
 * Shares groups out among instances by rendezvous hashing with bounded loads: none gets more than an even share, rounded up.
 * Instances that know the same groups and candidates find the same shares, and few groups move when a candidate joins or leaves.
 *
 * @example
 * shares.update(['encode/0', 'encode/1'], [idOf('a'), idOf('b')])
 * shares.coordinatorOf('encode/0')
 */
export class GroupShares {
  #key: string | undefined
  readonly #coordinators = new Map<string, InstanceId>()
  readonly #counts = new Map<InstanceId, number>()

  /** Shares the groups out anew if they or the candidates have changed. */
  update (groups: readonly string[], candidates: readonly InstanceId[]): void {
    const key = [...groups, ...candidates.toSorted()].join(' ')
    if (key === this.#key) return
    this.#key = key
    this.#coordinators.clear()
    this.#counts.clear()
    this.#share(groups, candidates)
  }

  #share (groups: readonly string[], candidates: readonly InstanceId[]): void {
    const evenShare = Math.ceil(groups.length / candidates.length)
    const pairs = groups.flatMap((group) => candidates.map((id): RankedPair => ({ group, id, rank: rendezvousRank(group, id) })))
    for (const { group, id } of pairs.sort(byRank)) {
      const count = this.countOf(id)
      if (this.#coordinators.has(group) || count >= evenShare) continue
      this.#coordinators.set(group, id)
      this.#counts.set(id, count + 1)
    }
  }

  /** The instance that gets the group; undefined if the group is not shared out. */
  coordinatorOf (group: string): InstanceId | undefined {
    return this.#coordinators.get(group)
  }

  /** Number of groups that an instance gets. */
  countOf (id: InstanceId): number {
    return this.#counts.get(id) ?? 0
  }
}

import { byRendezvous, millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'
import { BASE_SHARES, BURST_SPAN, FIRST_SHARE_WEIGHT, MAX_SHARE_FACTOR, MIN_BURST, SHARES_PER_RATE } from './constants.js'
import type { ShareRate } from './ShareBucket.js'

/**
 * The instances that hold a share of a limit, in rendezvous order for its name. The fewer requests it allows, the fewer
 * holders it has, since each may send one at any time.
 *
 * @example
 * holdersOf('e1 1000', 1, ['i1', 'i2', 'i3', 'i4']) // three of them
 */
export const holdersOf = (name: string, perSecond: number, instances: readonly InstanceId[]): readonly InstanceId[] => {
  const count = Math.max(1, Math.min(instances.length, Math.floor(SHARES_PER_RATE * perSecond + BASE_SHARES)))
  return byRendezvous(name, instances, (id) => id).slice(0, count)
}

/**
 * Weight of a share by its rank; the weights of all shares add up to their number.
 *
 * @example
 * shareWeight(0, 2) // 1.25
 */
export const shareWeight = (rank: number, shares: number): number => {
  if (shares === 1) return 1
  return rank === 0 ? FIRST_SHARE_WEIGHT : (shares - FIRST_SHARE_WEIGHT) / (shares - 1)
}

/**
 * Rate of the share with a rank, given the ranks whose holders can be reached. Those raise their rates for the others, within
 * a bound that holds on both sides of a cut.
 *
 * @example
 * shareRate(1, 4, 0, [0, 1, 2, 3]).interval // 3200
 */
export const shareRate = (perSecond: number, shares: number, rank: number, reachable: readonly number[]): ShareRate => {
  const reachableWeight = reachable.reduce((sum, each) => sum + shareWeight(each, shares), 0)
  const factor = Math.min(MAX_SHARE_FACTOR, shares / Math.max(reachableWeight, Number.MIN_VALUE))
  const interval = millis(shares * MILLIS_PER_SECOND / (perSecond * shareWeight(rank, shares) * factor))
  return { interval, burst: Math.max(MIN_BURST, BURST_SPAN / interval) }
}

import { byRendezvous, millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'
import { BASE_SHARES, BURST_SPAN, MAX_SHARE_FACTOR, MIN_BURST, SHARES_PER_RATE } from './constants.js'
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
 * Rate of one of `shares` equal shares of which `reachable` have a holder that can be reached. Those raise their rates for
 * the others, within a bound that holds on both sides of a cut.
 *
 * @example
 * shareRate(1, 4, 4).interval // 4000
 */
export const shareRate = (perSecond: number, shares: number, reachable: number): ShareRate => {
  const factor = Math.min(MAX_SHARE_FACTOR, shares / Math.max(1, reachable))
  const interval = millis(shares * MILLIS_PER_SECOND / (perSecond * factor))
  return { interval, burst: Math.max(MIN_BURST, BURST_SPAN / interval) }
}

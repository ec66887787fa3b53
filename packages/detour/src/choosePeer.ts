import { pickOne } from '@papayahill/common'
import type { Random } from '@papayahill/common'
import type { PeerMember } from '@papayahill/peers'

/**
 * The less loaded of two random peers, so that many instances that choose at once do not all choose the same one.
 *
 * @example
 * choosePeer(random, peers, ({ id, capacity = 1 }) => outstandingAt(id) / capacity)
 */
export const choosePeer = (
  random: Random, peers: readonly PeerMember[], loadOf: (peer: PeerMember) => number
): PeerMember | undefined => {
  const first = pickOne(random, peers)
  const second = pickOne(random, peers.filter((peer) => peer !== first))
  if (first === undefined || second === undefined) return first
  return loadOf(second) < loadOf(first) ? second : first
}

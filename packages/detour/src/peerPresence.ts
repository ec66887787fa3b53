import type { Incarnation, InstanceId } from '@papayahill/common'
import { silentHeartbeats } from '@papayahill/peers'
import type { Peers } from '@papayahill/peers'
import { MAX_SILENT_HEARTBEATS } from './constants.js'

/** Whether the very process of a peer is still there: `silent` is a guess that it is not, while its link is still open. */
export type PeerPresence = 'present' | 'silent' | 'gone'

/**
 * What is known of one process of a peer.
 *
 * @example
 * if (peerPresence(peers, id, incarnation) === 'gone') endHandOver()
 */
export const peerPresence = (
  peers: Pick<Peers, 'members' | 'isConnected'>, id: InstanceId, incarnation: Incarnation
): PeerPresence => {
  const member = peers.members().find((one) => one.id === id)
  if (!peers.isConnected(id) || member?.incarnation !== incarnation) return 'gone'
  return silentHeartbeats(member) < MAX_SILENT_HEARTBEATS ? 'present' : 'silent'
}

/** Whether this very process of a peer is still there and linked. */
export const isPeerPresent = (...of: Parameters<typeof peerPresence>): boolean => peerPresence(...of) === 'present'

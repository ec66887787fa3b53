import type { Incarnation, InstanceId } from '@papayahill/common'
import { silentHeartbeats } from '@papayahill/peers'
import type { Peers } from '@papayahill/peers'
import { MAX_SILENT_HEARTBEATS } from './constants.js'

/** Whether this very process of a peer is still there and linked. */
export const isPeerPresent = (peers: Pick<Peers, 'members' | 'isConnected'>, id: InstanceId, incarnation: Incarnation): boolean => {
  if (!peers.isConnected(id)) return false
  const member = peers.members().find((one) => one.id === id)
  return member?.incarnation === incarnation && silentHeartbeats(member) < MAX_SILENT_HEARTBEATS
}

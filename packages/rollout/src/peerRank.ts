import { hash32 } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'

/**
 * An instance's rank among its peers, from 0, in an order that is the same on all instances and differs by salt. Instances
 * that delay an action by their rank take turns and rarely conflict.
 *
 * @example
 * peerRank('assistant 3', self, peers.members())
 */
export const peerRank = (salt: string, self: InstanceId, members: ReadonlyArray<{ readonly id: InstanceId }>): number => {
  const place = hash32(`${salt} ${self}`)
  return members.filter(({ id }) => id !== self && hash32(`${salt} ${id}`) < place).length
}

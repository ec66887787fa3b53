import { hash32 } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'

/**
 * An instance's place among its peers, from 0, in an order that all agree on and that differs for each salt;
 * so instances take turns and seldom race.
 *
 * @example
 * turnOf('assistant 3', self, peers.members())
 */
export const turnOf = (salt: string, self: InstanceId, members: ReadonlyArray<{ readonly id: InstanceId }>): number => {
  const place = hash32(`${salt} ${self}`)
  return members.filter(({ id }) => id !== self && hash32(`${salt} ${id}`) < place).length
}

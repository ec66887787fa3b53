import type { InstanceId, Json, Millis } from '@papayahill/common'
import type { PeerChannel, PeerChannelEntry } from '@papayahill/endpoints'
import type { Peers } from '@papayahill/peers'

/**
 * Carries messages about endpoints between instances on the peers' `load` topic.
 *
 * @example
 * const channel = createPeerChannel(peers)
 * channel.publish('slots', { e1: 3 })
 */
export const createPeerChannel = (peers: Peers): PeerChannel => ({
  ask: async (to: InstanceId, message: Json, timeout: Millis): Promise<Json | undefined> => {
    const answer = await peers.ask(to, 'load', message, timeout)
    return answer.isOk ? answer.value : undefined
  },
  handle: (answer) => { peers.handle('load', answer) },
  publish: (key, value) => { peers.publish('load', key, value) },
  onEntry: (listener: (entry: PeerChannelEntry) => void) => { peers.onEntry('load', listener) }
})

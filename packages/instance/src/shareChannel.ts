import type { InstanceId, Json, Millis } from '@papayahill/common'
import type { ShareChannel, ShareEntry } from '@papayahill/endpoints'
import type { Peers } from '@papayahill/peers'

/**
 * What instances tell each other about endpoints, carried on the peers' `load` topic.
 *
 * @example
 * const shares = shareChannel(peers)
 * shares.publish('slots', { e1: 3 })
 */
export const shareChannel = (peers: Peers): ShareChannel => ({
  ask: async (to: InstanceId, message: Json, timeout: Millis): Promise<Json | undefined> => {
    const answer = await peers.ask(to, 'load', message, timeout)
    return answer.isOk ? answer.value : undefined
  },
  handle: (answer) => { peers.handle('load', answer) },
  publish: (key, value) => { peers.publish('load', key, value) },
  onEntry: (listener: (entry: ShareEntry) => void) => { peers.onEntry('load', listener) }
})

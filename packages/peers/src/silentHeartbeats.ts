import { HEARTBEAT_PERIOD } from './constants.js'
import type { PeerMember } from './types.js'

/**
 * Time since the last frame from a member, in its own heartbeats: where there is no full mesh they come less often, and a
 * fixed time would leave a slow process little of it.
 *
 * @example
 * silentHeartbeats({ silence: millis(1500), heartbeatPeriod: seconds(1) }) // 1.5
 */
export const silentHeartbeats = ({ silence, heartbeatPeriod = HEARTBEAT_PERIOD }: Pick<PeerMember, 'silence' | 'heartbeatPeriod'>): number =>
  silence / heartbeatPeriod

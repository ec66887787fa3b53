import { brand, SeededRandom, SILENT_LOG } from '@papayahill/common'
import type { Clock, InstanceId } from '@papayahill/common'
import { QuarantineManager } from '../QuarantineManager.js'

const SELF = brand<InstanceId>('i1')

/**
 * The quarantines of an instance that has no others to talk to.
 *
 * @example
 * const quarantines = isolatedQuarantines(new VirtualClock())
 */
export const isolatedQuarantines = (clock: Clock): QuarantineManager => new QuarantineManager({
  clock, random: new SeededRandom(1), log: SILENT_LOG, peers: { self: SELF, publish: () => {}, onEntry: () => {} }, instances: () => [SELF]
})

export { INSTANCE_EVENTS } from './events.js'
export { Instance } from './Instance.js'
export { createPeerChannel } from './createPeerChannel.js'
export type * from './types.js'

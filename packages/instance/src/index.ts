export { INSTANCE_EVENTS } from './events.js'
export { Instance } from './Instance.js'
export { shareChannel } from './shareChannel.js'
export type * from './types.js'

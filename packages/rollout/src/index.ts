export { ROLLOUT_EVENTS } from './events.js'
export { MoveManager } from './MoveManager.js'
export type { MoveManagerOptions, VersionCapacity } from './MoveManager.js'
export type * from './types.js'

export { ROLLOUT_EVENTS } from './events.js'
export { MoveKeeper } from './MoveKeeper.js'
export type { MoveKeeperOptions, VersionCapacity } from './MoveKeeper.js'
export type * from './types.js'

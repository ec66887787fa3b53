export { GOSSIP_RETENTION } from './constants.js'
export type * from './types.js'

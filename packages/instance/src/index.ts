export { shareChannel } from './shareChannel.js'
export type * from './types.js'

export { EMPTY_CONFIG } from './emptyConfig.js'
export type * from './types.js'

export { Trace } from './Trace.js'
export type * from './types.js'

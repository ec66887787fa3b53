export { EndpointPerformance } from './EndpointPerformance.js'
export type { EndpointPerformanceOptions } from './EndpointPerformance.js'
export { PERFORMANCE_EVENTS } from './events.js'
export type * from './types.js'

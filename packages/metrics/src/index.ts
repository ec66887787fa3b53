export { METRICS_EVENTS } from './events.js'
export { ServingMetrics } from './ServingMetrics.js'
export type { ServingMetricsOptions } from './ServingMetrics.js'
export type * from './types.js'

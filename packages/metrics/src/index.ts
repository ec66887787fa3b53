export { METRICS_EVENTS } from './events.js'
export { ServingMetrics } from './ServingMetrics.js'
export type { ServingMetricsOptions, TargetWatch } from './ServingMetrics.js'
export type * from './types.js'

export { SCHEDULING_EVENTS } from './events.js'
export { ServiceScheduler } from './ServiceScheduler.js'
export type { SchedulerOptions } from './ServiceScheduler.js'
export type * from './types.js'

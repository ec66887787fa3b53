export { ORDERS_EVENTS } from './events.js'
export { OrderManager } from './OrderManager.js'
export type { OrderManagerOptions } from './OrderManager.js'
export type * from './types.js'

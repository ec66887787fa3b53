export { ORDERS_EVENTS } from './events.js'
export { OrderKeeper } from './OrderKeeper.js'
export type { OrderKeeperOptions } from './OrderKeeper.js'
export type * from './types.js'

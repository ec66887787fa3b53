export { BACKENDS_EVENTS } from './events.js'
export { HttpEndpointAccess, originOf } from './HttpEndpointAccess.js'
export type { HttpEndpointAccessOptions } from './HttpEndpointAccess.js'

export { Daemon } from './Daemon.js'
export { PAPAYAHILLD_EVENTS } from './events.js'

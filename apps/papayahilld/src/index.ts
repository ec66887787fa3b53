export { PAPAYAHILLD_EVENTS } from './events.js'

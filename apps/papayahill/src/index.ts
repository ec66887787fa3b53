export { PAPAYAHILL_EVENTS } from './events.js'

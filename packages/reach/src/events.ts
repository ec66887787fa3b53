import { defineEvents } from '@papayahill/common'

/** Log events of reach, 24xx. */
export const REACH_EVENTS = defineEvents({
  reachDoubted: { number: 2401, level: 'warn', text: 'No endpoint has been in contact since calls to some failed or fell silent; endpoints of all services are probed.' },
  reachConfirmed: { number: 2402, level: 'info', text: 'An endpoint was reached; this instance is not cut off from the endpoints.' },
  serviceUnreached: { number: 2403, level: 'warn', text: 'This instance has lost its paths to all endpoints of a service.' },
  serviceReached: { number: 2404, level: 'info', text: 'This instance reaches endpoints of a service again, or has others on its list now.' },
  pathLost: { number: 2405, level: 'info', text: 'An endpoint accepts no connections of this instance.' }
})

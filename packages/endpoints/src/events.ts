import { defineEvents } from '@papayahill/common'

/** Log events of the endpoints, 30xx. */
export const ENDPOINTS_EVENTS = defineEvents({
  endpointListed: { number: 3001, level: 'info', text: 'An endpoint appeared in the platform\'s list; it gets work once it is connected and has reported.' },
  endpointUnlisted: { number: 3002, level: 'info', text: 'An endpoint is no longer in the platform\'s list; it gets no new work from this instance.' },
  endpointState: { number: 3003, level: 'info', text: 'The state of an endpoint changed, as seen by this instance.' },
  listUnreadable: { number: 3004, level: 'warn', text: 'The platform\'s instance list could not be read; the last one stays in use.' },
  listDistrusted: { number: 3005, level: 'warn', text: 'The platform\'s instance list lost most endpoints at once; the last one stays in use until it is confirmed.' },
  silentRestart: { number: 3006, level: 'warn', text: 'An endpoint restarted without breaking its connections; it counts as cold from now on.' },
  endpointEjected: { number: 3007, level: 'warn', text: 'An endpoint failed, hung or was far slower than the others of its service; it gets no new work from this instance for a time.' },
  endpointReadmitted: { number: 3008, level: 'info', text: 'An ejected endpoint gets work again, one call at first.' },
  reportsMissing: { number: 3009, level: 'warn', text: 'No more reports of an endpoint arrive; it counts as cold until the next one.' },
  endpointQuiet: { number: 3010, level: 'info', text: 'An endpoint that refused a call asked for no calls for a time.' }
})

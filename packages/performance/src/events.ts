import { defineEvents } from '@papayahill/common'

/** Log events of learnt performance, 37xx. */
export const PERFORMANCE_EVENTS = defineEvents({
  endpointSlow: { number: 3701, level: 'info', text: 'Work takes much longer at an endpoint than at others of its service; it gets fewer calls.' },
  endpointRecovered: { number: 3702, level: 'info', text: 'An endpoint that counted as slow is about as fast as others of its service again.' }
})

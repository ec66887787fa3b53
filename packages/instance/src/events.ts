import { defineEvents } from '@papayahill/common'

export const INSTANCE_EVENTS = defineEvents({
  instanceReady: { number: 1401, level: 'info', text: 'The instance has joined the roster, has a configuration and takes requests.' },
  instanceDraining: { number: 1402, level: 'info', text: 'A planned stop began: the health check fails from now on and running requests go on to their end.' },
  instanceDrained: { number: 1403, level: 'info', text: 'All requests have ended, outcomes and cost are handed over, and the instance has left the roster.' },
  handoverFailed: { number: 1404, level: 'warn', text: 'Something could not be written before a planned stop; peers hold it and will write it.' }
})

import { defineEvents } from '@papayahill/common'

/** Log events of an instance's start and planned stop, 14xx. */
export const INSTANCE_EVENTS = defineEvents({
  instanceReady: { number: 1401, level: 'info', text: 'The instance has joined the roster, has a configuration and accepts requests.' },
  instanceDraining: { number: 1402, level: 'info', text: 'A planned stop began: the health check now fails and running requests continue to their end.' },
  instanceDrained: { number: 1403, level: 'info', text: 'All requests have ended, outcomes and cost were handed over, and the instance has left the roster.' },
  handoverFailed: { number: 1404, level: 'warn', text: 'Some data could not be written before a planned stop; peers have backup copies and will write it.' }
})

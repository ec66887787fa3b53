import { defineEvents } from '@papayahill/common'

/** Log events of metrics, 61xx. */
export const METRICS_EVENTS = defineEvents({
  classBehindTarget: { number: 6101, level: 'warn', text: 'Too few requests of a class met its target in the last minute; the event names the stage that took the most time.' },
  classOnTarget: { number: 6102, level: 'info', text: 'A class that missed its target meets it again.' }
})

import { defineEvents } from '@papayahill/common'

/** Numbered events of metrics; 61xx. */
export const METRICS_EVENTS = defineEvents({
  classBehindTarget: { number: 6101, level: 'warn', text: 'A class meets its target too seldom in the last minute; the event names the stage that takes the time.' },
  classOnTarget: { number: 6102, level: 'info', text: 'A class that was behind its target meets it again.' }
})

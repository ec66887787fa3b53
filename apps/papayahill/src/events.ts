import { defineEvents } from '@papayahill/common'

/** Log events of long-running commands, 80xx. */
export const PAPAYAHILL_EVENTS = defineEvents({
  standInsRun: { number: 8001, level: 'info', text: 'Stand-ins of platform and endpoints listen on loopback until stopped.' }
})

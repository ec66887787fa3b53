import { defineEvents } from '@papayahill/common'

/** Log events of stand-ins that are started manually, 90xx. */
export const STANDINS_EVENTS = defineEvents({
  standInListening: { number: 9001, level: 'info', text: 'A stand-in accepts connections at this address.' }
})

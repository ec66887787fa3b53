import { defineEvents } from '@papayahill/common'

/** Numbered events of the stand-ins that run by hand. */
export const STANDINS_EVENTS = defineEvents({
  standInListening: { number: 9001, level: 'info', text: 'A stand-in takes connections at this address.' }
})

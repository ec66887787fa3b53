import { defineEvents } from '@papayahill/common'

/** Log events of quarantines, 22xx. */
export const QUARANTINE_EVENTS = defineEvents({
  endpointCrashed: {
    number: 2201, level: 'warn', text: 'An endpoint crashed with requests whose answers had not begun; the parts that have never begun are suspected.'
  },
  partsQuarantined: { number: 2202, level: 'error', text: 'Parts of requests crash endpoints; requests with them are refused from now on.' },
  partCleared: { number: 2203, level: 'info', text: 'An answer began on a part that was suspected or under quarantine.' },
  quarantineTried: { number: 2204, level: 'warn', text: 'One request with quarantined parts is sent to see whether they still crash endpoints.' },
  quarantineLifted: { number: 2205, level: 'warn', text: 'A quarantine ended, by an answer that began or by an operator.' },
  quarantinePinned: { number: 2206, level: 'warn', text: 'An operator put parts under quarantine for good.' },
  quarantineMalformed: { number: 2207, level: 'warn', text: 'A message of another instance about crashes could not be read and was ignored.' }
})

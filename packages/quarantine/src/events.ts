import { defineEvents } from '@papayahill/common'

/** Log events of quarantines, 22xx. */
export const QUARANTINE_EVENTS = defineEvents({
  endpointCrashed: {
    number: 2201, level: 'warn', text: 'An endpoint crashed with requests; what of them is not known to be sound is suspected, parts or the request as a whole.'
  },
  partsQuarantined: { number: 2202, level: 'error', text: 'Parts of requests, or one request that comes again, crash endpoints; they are refused from now on.' },
  partCleared: { number: 2203, level: 'info', text: 'An answer began on a part, or ended on a request, that was suspected or under quarantine.' },
  quarantineTried: { number: 2204, level: 'warn', text: 'One request with quarantined parts is sent to see whether they still crash endpoints.' },
  quarantineLifted: { number: 2205, level: 'warn', text: 'A quarantine ended, by an answer that began or by an operator.' },
  quarantinePinned: { number: 2206, level: 'warn', text: 'An operator put parts under quarantine for good.' },
  quarantineMalformed: { number: 2207, level: 'warn', text: 'A message of another instance about crashes could not be read and was ignored.' }
})

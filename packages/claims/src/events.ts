import { defineEvents } from '@papayahill/common'

/** Log events of claims on requests that may run at most once, 40xx. */
export const CLAIMS_EVENTS = defineEvents({
  outcomeHeld: { number: 4001, level: 'warn', text: 'The store did not accept an outcome in time; peers keep backup copies until it does.' },
  outcomeUnheld: { number: 4002, level: 'error', text: 'An outcome is neither in the store nor sufficiently backed up by peers; if this instance fails now, whether the request ran may become unknown.' },
  outcomeWritten: { number: 4003, level: 'info', text: 'A delayed outcome was written to the store.' },
  claimUnknown: { number: 4004, level: 'warn', text: 'It is unknown whether a request ran; it will not be run again. Look it up in the service and resolve it.' },
  claimResolved: { number: 4005, level: 'info', text: 'An unknown request was resolved.' },
  leaseLapsed: { number: 4006, level: 'warn', text: 'A request was not sent because its dispatch lease had expired, for example after a process pause.' },
  outcomeContradicts: { number: 4007, level: 'error', text: 'A request ran after it had been resolved as not run; check the service\'s records immediately.' },
  claimsPruned: { number: 4008, level: 'debug', text: 'Claims past their retention time were deleted.' },
  storeUnreachable: { number: 4009, level: 'warn', text: 'Requests that may not be repeated are refused because the store is unavailable.' },
  holderFull: { number: 4010, level: 'error', text: 'The limit of outcomes backed up for other instances was reached; the oldest was dropped.' },
  processPaused: { number: 4011, level: 'warn', text: 'This process was paused; it briefly claims no requests, since callers may have abandoned the queued ones.' }
})

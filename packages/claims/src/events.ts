import { defineEvents } from '@papayahill/common'

/** Events of claims on requests that may run at most once. */
export const CLAIMS_EVENTS = defineEvents({
  outcomeHeld: { number: 4001, level: 'warn', text: 'The store did not take an outcome in time; peers hold it until it does.' },
  outcomeUnheld: { number: 4002, level: 'error', text: 'Neither the store nor a peer keeps an outcome yet; if this instance dies now, the request becomes unknown.' },
  outcomeWritten: { number: 4003, level: 'info', text: 'An outcome that had waited for the store was written.' },
  claimUnknown: { number: 4004, level: 'warn', text: 'Whether a request ran is not known; it is never run again. Look it up in the service and resolve it.' },
  claimResolved: { number: 4005, level: 'info', text: 'An unknown request was resolved.' },
  leaseLapsed: { number: 4006, level: 'warn', text: 'A request was not sent because too much time had passed since its claim, as after a pause.' },
  outcomeContradicts: { number: 4007, level: 'error', text: 'A request ran after it had been resolved as not run; compare with the service\'s records at once.' },
  claimsPruned: { number: 4008, level: 'debug', text: 'Claims past their retention were deleted.' },
  storeUnreachable: { number: 4009, level: 'warn', text: 'Requests that may not be repeated are refused because the store does not answer.' },
  holderFull: { number: 4010, level: 'error', text: 'This instance holds as many outcomes for others as it can; the oldest was dropped.' },
  processPaused: { number: 4011, level: 'warn', text: 'This process stood still; for a moment it claims no request, since callers may have given theirs up.' }
})

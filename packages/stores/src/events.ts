import { defineEvents } from '@papayahill/common'

/** Log events of the clients of the platform's services, 12xx. */
export const PLATFORM_EVENTS = defineEvents({
  platformUnreachable: {
    number: 1201,
    level: 'warn',
    text: 'A platform service is unreachable; ordinary requests continue, but changes and claims wait for it.'
  },
  platformReachable: { number: 1202, level: 'info', text: 'A platform service is reachable again.' },
  answerLost: {
    number: 1203,
    level: 'warn',
    text: 'The response to a commit was lost; it may have taken effect and is read back.'
  },
  answerMalformed: {
    number: 1204,
    level: 'error',
    text: 'A platform service sent a malformed response; check that its address is correct.'
  }
})

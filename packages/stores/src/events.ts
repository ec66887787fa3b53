import { defineEvents } from '@papayahill/common'

/** Numbered events of the platform's clients. */
export const PLATFORM_EVENTS = defineEvents({
  platformUnreachable: {
    number: 1201,
    level: 'warn',
    text: 'A platform service stopped answering; ordinary requests go on, changes and claims wait for it.'
  },
  platformReachable: { number: 1202, level: 'info', text: 'A platform service answers again.' },
  answerLost: {
    number: 1203,
    level: 'warn',
    text: 'The answer to a commit was lost; it may have taken effect and is read back.'
  },
  answerMalformed: {
    number: 1204,
    level: 'error',
    text: 'A platform service answered in a form that is not known; check that its address is right.'
  }
})

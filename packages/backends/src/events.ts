import { defineEvents } from '@papayahill/common'

/** Log events of the endpoint adapters, 13xx. */
export const BACKENDS_EVENTS = defineEvents({
  connectionOpened: { number: 1301, level: 'debug', text: 'A connection to an endpoint was opened and its incarnation confirmed.' },
  connectionLost: {
    number: 1302,
    level: 'info',
    text: 'The connection to an endpoint broke or shows another incarnation; the endpoint is treated as cold until it reports.'
  },
  openFailed: { number: 1303, level: 'info', text: 'The connection to an endpoint could not be opened; no requests are sent to it.' },
  answerMalformed: {
    number: 1304,
    level: 'warn',
    text: 'An endpoint answered with a body that does not match its kind; check the kind of its service.'
  },
  feedMissing: { number: 1305, level: 'debug', text: 'An endpoint does not push reports; they are polled.' }
})

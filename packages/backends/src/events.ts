import { defineEvents } from '@papayahill/common'

/** Numbered events of the adapters. */
export const BACKENDS_EVENTS = defineEvents({
  connectionOpened: { number: 1301, level: 'debug', text: 'A connection to an endpoint was opened and its life confirmed.' },
  connectionLost: {
    number: 1302,
    level: 'info',
    text: 'The connection to an endpoint broke or shows another life; the endpoint counts as cold until it reports.'
  },
  openFailed: { number: 1303, level: 'info', text: 'An endpoint could not be connected to; it takes no work.' },
  answerMalformed: {
    number: 1304,
    level: 'warn',
    text: 'An endpoint answered in a form that its kind does not have; check the kind of its service.'
  },
  feedMissing: { number: 1305, level: 'debug', text: 'An endpoint pushes no reports; they are polled.' }
})

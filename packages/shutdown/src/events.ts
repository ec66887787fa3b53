import { defineEvents } from '@papayahill/common'

/** Log events of signals, numbered among those of the instance process. */
export const SHUTDOWN_EVENTS = defineEvents({
  stopAsked: { number: 7104, level: 'info', text: 'A signal requested a planned stop; running requests are finished first.' },
  stopPending: { number: 7105, level: 'warn', text: 'Another signal arrived during a planned stop; it changes nothing. Only SIGQUIT cuts requests.' },
  cut: { number: 7107, level: 'error', text: 'The process was told to stop at once; the requests counted in the field were cut.' }
})

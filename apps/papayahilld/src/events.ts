import { defineEvents } from '@papayahill/common'

/** Numbered events of the instance's process. */
export const PAPAYAHILLD_EVENTS = defineEvents({
  starting: { number: 7101, level: 'info', text: 'The process starts with these settings.' },
  started: { number: 7102, level: 'info', text: 'The instance serves.' },
  startFailed: { number: 7103, level: 'error', text: 'The instance could not start; the fields say why and what to do.' },
  stopAsked: { number: 7104, level: 'info', text: 'A signal asked for a planned stop; running requests are finished first.' },
  stopPending: {
    number: 7105,
    level: 'warn',
    text: 'Another signal came while requests still run: one more soon, or SIGQUIT, cuts as many as the field says.'
  },
  stopped: { number: 7106, level: 'info', text: 'The planned stop is done; no request was cut.' },
  cut: { number: 7107, level: 'error', text: 'The process was told to stop at once; the requests in the field were cut.' },
  waiting: {
    number: 7109,
    level: 'warn',
    text: 'The instance still waits for the store or a peer; it serves nothing until one of them gives a configuration.'
  },
  taskFailed: {
    number: 7110,
    level: 'error',
    text: 'A background task failed; requests go on, and the task is tried again at its next turn. Report it with the fields.'
  },
  crashed: { number: 7108, level: 'error', text: 'A fault ended the process; report it with the fields.' }
})

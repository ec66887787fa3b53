import { defineEvents } from '@papayahill/common'

/** Log events of the instance process, 71xx. */
export const PAPAYAHILLD_EVENTS = defineEvents({
  starting: { number: 7101, level: 'info', text: 'The process is starting with these settings.' },
  started: { number: 7102, level: 'info', text: 'The instance has started and serves requests.' },
  startFailed: { number: 7103, level: 'error', text: 'The instance could not start; the fields give the reason and what to do.' },
  stopped: { number: 7106, level: 'info', text: 'The planned stop is complete; no request was cut.' },
  waiting: {
    number: 7109,
    level: 'warn',
    text: 'The instance is waiting for the store or a peer; it serves no requests until one of them provides a configuration.'
  },
  taskFailed: {
    number: 7110,
    level: 'error',
    text: 'A background task failed; requests continue, and the task is retried in its next period. Report it with the fields.'
  },
  crashed: { number: 7108, level: 'error', text: 'An unexpected error ended the process; report it with the fields.' }
})

import { defineEvents } from '@papayahill/common'

/** Log events of the log itself, 19xx. */
export const LOGGING_EVENTS = defineEvents({
  linesLeftOut: { number: 1901, level: 'warn', text: 'Log lines were dropped, because there were too many or the reader of the output was too slow.' },
  heapHigh: { number: 1902, level: 'warn', text: 'The heap has come close to its limit, at which the process ends; the fields count what it holds.' },
  heapNormal: { number: 1903, level: 'info', text: 'The heap is well below its limit again.' },
  loopDelayed: { number: 1904, level: 'warn', text: 'The event loop is late, so that what arrives is read late; the fields count what the process holds.' },
  loopOnTime: { number: 1905, level: 'info', text: 'The event loop has been on time for a second.' }
})

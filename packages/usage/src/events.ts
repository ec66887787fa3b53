import { defineEvents } from '@papayahill/common'

/** Log events of usage reports, 34xx. */
export const USAGE_EVENTS = defineEvents({
  reportsWritten: { number: 3401, level: 'debug', text: 'Usage reports were written to the store and are sent from now on.' },
  reportIncomplete: { number: 3402, level: 'warn', text: 'A usage report was written although live instances had not reported the end of its window.' },
  storeFailed: { number: 3403, level: 'warn', text: 'Usage reports could not be written to the store; they are kept in memory here and at the backup.' },
  reportsRestored: { number: 3404, level: 'warn', text: 'The store had lost usage reports that were written before; copies of them were written again.' },
  reportsLost: { number: 3405, level: 'error', text: 'The store has lost usage reports and no instance has copies; their windows are not reported anew.' },
  rowUnreadable: { number: 3406, level: 'error', text: 'A usage report in the store could not be read; it is neither sent nor replaced.' },
  reportRefused: { number: 3407, level: 'error', text: 'The platform refused a usage report.' },
  reportGivenUp: { number: 3408, level: 'error', text: 'A usage report was never accepted by the platform and is given up.' },
  windowsUnknown: { number: 3409, level: 'warn', text: 'Nothing is known of windows since the last report, as after the end of all instances; they are not reported.' }
})

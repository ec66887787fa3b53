import { defineEvents } from '@papayahill/common'

/** Log events of reports between instances, 35xx. */
export const REPORTS_EVENTS = defineEvents({
  receiversChanged: { number: 3501, level: 'info', text: 'This instance sends its reports to other instances from now on.' },
  receiverSilent: { number: 3502, level: 'warn', text: 'An instance did not confirm a report in time; the next one takes its place for a while.' },
  reportMalformed: { number: 3503, level: 'warn', text: 'A report of another instance could not be read and was dropped.' },
  reportRejected: { number: 3504, level: 'warn', text: 'A receiver could not read a report; it is sent everything anew.' },
  clockSet: { number: 3505, level: 'warn', text: 'The wall clock was off the median of all instances at the start; the fleet clock was set to the median.' },
  collected: { number: 3506, level: 'info', text: 'This instance asked others for the reports that they collected.' }
})

import { defineEvents } from '@papayahill/common'

/** Log events of metering and budgets, 60xx. */
export const COST_EVENTS = defineEvents({
  budgetForecast: { number: 6001, level: 'warn', text: 'At the present rate a budget will be exceeded; the fields say when, and which class and stage drive the spend.' },
  budgetPassed: { number: 6002, level: 'error', text: 'A budget has been used up; its configured action now applies to new requests.' },
  budgetCalm: { number: 6003, level: 'info', text: 'A budget that was forecast to be exceeded is now expected to last.' },
  flushFailed: { number: 6004, level: 'warn', text: 'Metered work could not be recorded; it is kept in memory here and at backup peers until the store answers.' },
  deadMeterRecorded: { number: 6005, level: 'info', text: 'Unrecorded work of an instance that is gone was recorded from a backup.' },
  unpricedService: { number: 6006, level: 'warn', text: 'Work of a service without prices was metered at zero cost.' }
})

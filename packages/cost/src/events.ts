import { defineEvents } from '@papayahill/common'

/** Numbered events of metering and budgets; 60xx. */
export const COST_EVENTS = defineEvents({
  budgetForecast: { number: 6001, level: 'warn', text: 'At the present rate a budget will be passed; the event says when, and what drives it.' },
  budgetPassed: { number: 6002, level: 'error', text: 'A budget has been passed; its chosen answer is now in force for new requests.' },
  budgetCalm: { number: 6003, level: 'info', text: 'A budget that was going to be passed is now expected to hold.' },
  flushFailed: { number: 6004, level: 'warn', text: 'Metered work could not be recorded; it is kept here and at peers until the store answers.' },
  deadMeterRecorded: { number: 6005, level: 'info', text: 'The unrecorded work of an instance that is gone was recorded from its peers.' },
  unpricedService: { number: 6006, level: 'warn', text: 'Work of a service without prices was metered at no cost.' }
})

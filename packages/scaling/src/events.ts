import { defineEvents } from '@papayahill/common'

/** Log events of ordered endpoints, 36xx. */
export const SCALING_EVENTS = defineEvents({
  endpointsOrdered: { number: 3601, level: 'info', text: 'Another number of endpoints was ordered for a service in a failure domain.' },
  orderAccepted: { number: 3602, level: 'info', text: 'The platform accepted an order of endpoints.' },
  orderFailed: { number: 3603, level: 'warn', text: 'An order of endpoints was not accepted; it is sent again with the newest plan.' },
  ordersUnreadable: { number: 3604, level: 'warn', text: 'The last orders could not be read or written; they stand until the store answers.' },
  ordersResumed: { number: 3605, level: 'info', text: 'This instance orders endpoints now, beginning with the last orders in the store.' },
  loadMalformed: { number: 3606, level: 'warn', text: 'A report of load could not be read and was dropped.' },
  ordersConflicted: { number: 3608, level: 'warn', text: 'The last orders in the store were changed by another writer; they are read again.' },
  scalingHeld: { number: 3607, level: 'info', text: 'Fewer endpoints would do, but none is released now, for the reason given.' }
})

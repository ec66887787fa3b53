import { defineEvents } from '@papayahill/common'

/** Log events of the roster, the configuration log and the store budget, 21xx. */
export const CONTROL_EVENTS = defineEvents({
  joined: { number: 2101, level: 'info', text: 'This instance joined the roster.' },
  left: { number: 2102, level: 'info', text: 'This instance left the roster in a planned stop.' },
  removed: { number: 2103, level: 'warn', text: 'Other instances removed this instance from the roster while it was silent; it joins again.' },
  memberSuspected: { number: 2104, level: 'warn', text: 'A member is silent and was marked as suspected; it is removed unless it clears the mark.' },
  memberRemoved: { number: 2105, level: 'warn', text: 'A silent member was removed from the roster.' },
  suspicionCleared: { number: 2106, level: 'warn', text: 'Other instances suspected this one because they received no messages; it cleared the mark. Check the network between instances.' },
  rosterUnreadable: { number: 2107, level: 'warn', text: 'The roster could not be read from the store; slots at cold endpoints stay unused until it can be read.' },
  rosterRepaired: { number: 2108, level: 'error', text: 'The store had an older roster than this instance, as after a restore; the newer one was written back.' },
  configReady: { number: 2111, level: 'info', text: 'The configuration is in force on this instance for the first time; the instance can become ready.' },
  configInForce: { number: 2112, level: 'info', text: 'A newer version of the configuration is in force on this instance.' },
  configAccepted: { number: 2113, level: 'info', text: 'A configuration change from an operator was accepted on this instance.' },
  configConflict: { number: 2114, level: 'info', text: 'A configuration change conflicted with one by another operator; its author got the winning version and author.' },
  configRepaired: { number: 2115, level: 'error', text: 'The store had an older configuration than this instance, as after a restore; the missing changes were written back.' },
  configForked: { number: 2116, level: 'error', text: 'The store and this instance had different changes for the same version; both were merged into a new version.' },
  configUnreadable: { number: 2117, level: 'warn', text: 'The configuration could not be read from the store; the current one stays in force.' },
  latchSet: { number: 2121, level: 'warn', text: 'A failure domain was taken out by latch; this is in force but not yet recorded in the store.' },
  latchRecorded: { number: 2122, level: 'info', text: 'A latched domain-out was recorded in the store.' },
  snapshotFailed: { number: 2123, level: 'warn', text: 'A configuration snapshot could not be written to the object store; it will be retried.' },
  storeOutage: { number: 2131, level: 'error', text: 'The table service is not responding; operations that need it are rejected or wait.' },
  storeBack: { number: 2132, level: 'info', text: 'The table service responds again.' },
  overBudget: { number: 2133, level: 'warn', text: 'This instance has exhausted its share of store reads or writes; calls are rejected until there is budget again.' }
})

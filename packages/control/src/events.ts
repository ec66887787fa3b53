import { defineEvents } from '@papayahill/common'

/** Events of the roster, the configuration log and the store budget. */
export const CONTROL_EVENTS = defineEvents({
  joined: { number: 2101, level: 'info', text: 'This instance joined the roster.' },
  left: { number: 2102, level: 'info', text: 'This instance left the roster as planned.' },
  removed: { number: 2103, level: 'warn', text: 'Others removed this instance from the roster while it was silent; it joins again.' },
  memberSuspected: { number: 2104, level: 'warn', text: 'A member is silent; it is removed unless it clears the mark in the roster.' },
  memberRemoved: { number: 2105, level: 'warn', text: 'A silent member was removed from the roster.' },
  suspicionCleared: { number: 2106, level: 'warn', text: 'Others could not hear this instance; it showed through the store that it lives. Check the links between instances.' },
  rosterUnreadable: { number: 2107, level: 'warn', text: 'The roster could not be read from the store; slots at cold endpoints stay unused until it can.' },
  rosterRepaired: { number: 2108, level: 'error', text: 'The store held an older roster than this instance knew, as after a restore; the newer one was put back.' },
  configReady: { number: 2111, level: 'info', text: 'The configuration is in force here for the first time; the instance may become ready.' },
  configInForce: { number: 2112, level: 'info', text: 'A newer version of the configuration is in force here.' },
  configAccepted: { number: 2113, level: 'info', text: 'A change was accepted from an operator at this instance.' },
  configConflict: { number: 2114, level: 'info', text: 'A change lost a race against another operator; its author was told who won.' },
  configRepaired: { number: 2115, level: 'error', text: 'The store held an older configuration than this instance knew, as after a restore; the missing changes were put back.' },
  configForked: { number: 2116, level: 'error', text: 'The store holds another content for a version that this instance knows; both changes were joined in a new version.' },
  configUnreadable: { number: 2117, level: 'warn', text: 'The configuration could not be read from the store; what is known stays in force.' },
  latchSet: { number: 2121, level: 'warn', text: 'A failure domain is out by latch: in force, not yet recorded in the store.' },
  latchRecorded: { number: 2122, level: 'info', text: 'A latched domain-out has been recorded in the store.' },
  snapshotFailed: { number: 2123, level: 'warn', text: 'A configuration snapshot could not be written to the object store; it is tried again later.' },
  storeOutage: { number: 2131, level: 'error', text: 'The table service does not answer; what needs it is refused or waits.' },
  storeBack: { number: 2132, level: 'info', text: 'The table service answers again.' },
  overBudget: { number: 2133, level: 'warn', text: 'This instance reached its share of reads or writes of the store; calls are refused until the next second.' }
})

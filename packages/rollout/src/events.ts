import { defineEvents } from '@papayahill/common'

/** Log events of moves between versions, 50xx. */
export const ROLLOUT_EVENTS = defineEvents({
  moveStarted: { number: 5001, level: 'info', text: 'A move to a new version began; its share stays small until there is evidence.' },
  moveStepped: { number: 5002, level: 'info', text: 'The share of the new version was raised on the given evidence.' },
  moveWaiting: { number: 5003, level: 'warn', text: 'A move is waiting for traffic or capacity; the event says how much is missing.' },
  moveLate: { number: 5004, level: 'warn', text: 'A move has passed its deadline for the given reason; it continues.' },
  moveDone: { number: 5005, level: 'info', text: 'A move is complete; endpoints of the old version can be removed.' },
  moveTakenBack: { number: 5006, level: 'error', text: 'The new version was rolled back on the given evidence; all new calls go to the old version.' },
  moveStopped: { number: 5007, level: 'info', text: 'An operator stopped a move; all new calls go to the old version.' },
  takeBackRecorded: { number: 5008, level: 'info', text: 'The rollback of a version was recorded in the store.' },
  moveStoreFailed: { number: 5009, level: 'warn', text: 'A move could not be recorded in the store; shares stay unchanged until the store answers.' }
})

import { defineEvents } from '@papayahill/common'

/** Numbered events of moves between versions; 50xx. */
export const ROLLOUT_EVENTS = defineEvents({
  moveStarted: { number: 5001, level: 'info', text: 'A move to a new version began; its first share is small until evidence is in.' },
  moveStepped: { number: 5002, level: 'info', text: 'The share of the new version was raised, on the evidence given.' },
  moveWaiting: { number: 5003, level: 'warn', text: 'A move waits for traffic or capacity; the event says for how much.' },
  moveLate: { number: 5004, level: 'warn', text: 'A move was not done by its time; the event says why. It goes on.' },
  moveDone: { number: 5005, level: 'info', text: 'A move is done; endpoints of the old version may go.' },
  moveTakenBack: { number: 5006, level: 'error', text: 'The new version was taken back on the evidence given; all new calls go to the old one.' },
  moveStopped: { number: 5007, level: 'info', text: 'An operator stopped a move; all new calls go to the old version.' },
  takeBackRecorded: { number: 5008, level: 'info', text: 'The store has recorded that a version was taken back.' },
  moveStoreFailed: { number: 5009, level: 'warn', text: 'The store could not record a move; shares stay as they are until it answers.' }
})

import { defineEvents } from '@papayahill/common'

/** Log events of detours, 24xx. Both ends of a hand-over name the request's attempt. */
export const DETOUR_EVENTS = defineEvents({
  requestHandedOver: { number: 2501, level: 'info', text: 'A request was offered to a peer, since this instance reaches no endpoint of its service.' },
  handOverEnded: { number: 2502, level: 'info', text: 'A request that was offered to a peer ended there, or was not taken.' },
  handOverTaken: { number: 2503, level: 'info', text: 'A request of another instance was taken.' },
  handOverDeclined: { number: 2504, level: 'info', text: 'A request of another instance was not taken; nothing of it has run here.' },
  handOverServed: { number: 2505, level: 'info', text: 'A request of another instance ended here.' },
  handOverFaulty: { number: 2506, level: 'error', text: 'A request of another instance ended in an error of this one.' }
})

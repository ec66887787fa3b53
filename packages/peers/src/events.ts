import { defineEvents } from '@papayahill/common'

/** Events of the links between instances. */
export const PEERS_EVENTS = defineEvents({
  listening: { number: 2001, level: 'info', text: 'The peers\' listener is open.' },
  linkOpened: { number: 2002, level: 'info', text: 'A link to a peer was opened and both sides proved that they know the secret.' },
  linkClosed: { number: 2003, level: 'info', text: 'A link to a peer was closed.' },
  secretWrong: { number: 2004, level: 'error', text: 'A peer could not prove that it knows the shared secret; check the secret on both instances.' },
  frameTooLarge: { number: 2005, level: 'warn', text: 'A message to or from a peer was larger than allowed and was dropped.' },
  frameBroken: { number: 2006, level: 'warn', text: 'A peer sent a message that could not be read; the link was closed.' },
  peerSilent: { number: 2007, level: 'warn', text: 'Nothing was heard from a peer for the heartbeat timeout.' },
  listUnreadable: { number: 2008, level: 'warn', text: 'The platform\'s instance list could not be read; known peers are kept.' },
  listEmpty: { number: 2009, level: 'warn', text: 'The platform\'s instance list names no instance; known peers are kept.' },
  frameFaulty: { number: 2010, level: 'error', text: 'A message of a peer could not be handled; its link was closed.' }
})

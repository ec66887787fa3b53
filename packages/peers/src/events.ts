import { defineEvents } from '@papayahill/common'

/** Log events of the links between instances, 20xx. */
export const PEERS_EVENTS = defineEvents({
  listening: { number: 2001, level: 'info', text: 'The listener for peers is open.' },
  linkOpened: { number: 2002, level: 'info', text: 'A link to a peer was opened; both sides proved that they know the shared secret.' },
  linkClosed: { number: 2003, level: 'info', text: 'A link to a peer was closed.' },
  secretWrong: { number: 2004, level: 'error', text: 'A peer failed to authenticate with the shared secret; check the secret on both instances.' },
  frameTooLarge: { number: 2005, level: 'warn', text: 'A message to a peer exceeded the maximum frame size and was dropped.' },
  frameBroken: { number: 2006, level: 'warn', text: 'A message from a peer could not be decoded; the link was closed.' },
  peerSilent: { number: 2007, level: 'warn', text: 'Nothing was received from a peer within the heartbeat timeout.' },
  listUnreadable: { number: 2008, level: 'warn', text: 'The platform\'s instance list could not be read; known peers are kept.' },
  listEmpty: { number: 2009, level: 'warn', text: 'The platform\'s instance list contains no instances; known peers are kept.' },
  frameFaulty: { number: 2010, level: 'error', text: 'A message from a peer could not be handled; the link was closed.' },
  listenerFailed: { number: 2011, level: 'error', text: 'The open listener for peers reported an error, such as a link that could not be accepted; it stays open.' },
  connectionsClosed: {
    number: 2032, level: 'warn', text: 'The listener for peers had as many connections as it may have; those that were silent for longest were closed.'
  },
  listenerBlocked: { number: 2031, level: 'warn', text: 'No address for peers can be bound, for a cause that may pass; it is tried again, and links are dialled meanwhile.' }
})

import { defineEvents } from '@papayahill/common'

/** Log events of the interfaces for callers and operators, 70xx. */
export const EDGE_EVENTS = defineEvents({
  listening: { number: 7001, level: 'info', text: 'A listener accepts connections at this address.' },
  handlerFailed: {
    number: 7002,
    level: 'error',
    text: 'A request failed because of an internal error and was answered 500; report it with its request id.'
  },
  tokenRefused: {
    number: 7003,
    level: 'warn',
    text: 'A token was missing or wrong; many of these indicate a caller or operator with an outdated token, or guessing.'
  },
  connectionsUsedUp: {
    number: 7004,
    level: 'warn',
    text: 'The limit of open connections is reached; new connections are refused. Start more instances or raise limits.connections.'
  },
  slowCallerCut: {
    number: 7005,
    level: 'info',
    text: 'A caller read its stream too slowly and was disconnected, so that its answer does not fill the memory.'
  },
  operatorActed: { number: 7006, level: 'info', text: 'An operator made a change; the fields name the operator and the request.' },
  listenerFailed: { number: 7007, level: 'error', text: 'A listener cannot be opened yet and is tried again, or reported an error, such as a connection that could not be accepted, and stays open.' }
})

import { defineEvents } from '@papayahill/common'

/** Numbered events of the faces to callers and operators. */
export const EDGE_EVENTS = defineEvents({
  listening: { number: 7001, level: 'info', text: 'A listener takes connections at this address.' },
  handlerFailed: {
    number: 7002,
    level: 'error',
    text: 'A request met a fault of the instance and was answered 500; report it with its request id.'
  },
  tokenRefused: {
    number: 7003,
    level: 'warn',
    text: 'A token was missing or wrong; many of these mean a caller or operator with an old token, or somebody guessing.'
  },
  connectionsUsedUp: {
    number: 7004,
    level: 'warn',
    text: 'The limit of open connections is reached; new ones are refused. Start more instances or raise limits.connections.'
  },
  slowCallerCut: {
    number: 7005,
    level: 'info',
    text: 'A caller read its stream too slowly and was cut off, so that its answer does not fill the memory.'
  },
  operatorActed: { number: 7006, level: 'info', text: 'An operator changed something; the fields say who and what.' }
})

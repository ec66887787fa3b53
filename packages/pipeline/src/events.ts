import { defineEvents } from '@papayahill/common'

/** Events of the pipeline, 32xx. */
export const PIPELINE_EVENTS = defineEvents({
  crossedAnswer: {
    number: 3201,
    level: 'error',
    text: 'An endpoint answered with the id of another call; the answer was dropped and nobody got it.'
  },
  lateAnswer: { number: 3202, level: 'info', text: 'Part of an answer came after its call had ended; it was dropped.' },
  retrying: { number: 3203, level: 'info', text: 'A stage call failed and is tried at another endpoint.' },
  slowCall: { number: 3204, level: 'warn', text: 'A stage call took far longer than usual and is tried at another endpoint.' },
  resumed: { number: 3205, level: 'info', text: 'A cut stream goes on at another endpoint from the chunks already delivered.' },
  slowCaller: { number: 3206, level: 'warn', text: 'A caller read its stream too slowly; the stream was ended to bound memory.' },
  unknownOutcome: {
    number: 3207,
    level: 'error',
    text: 'A request that may not be repeated was sent and its outcome is not known; see the claims list.'
  }
})

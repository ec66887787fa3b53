import { defineEvents } from '@papayahill/common'

/** Log events of the pipeline, 32xx. */
export const PIPELINE_EVENTS = defineEvents({
  crossedAnswer: {
    number: 3201,
    level: 'error',
    text: 'An endpoint answered with the id of another call; the answer was dropped and not delivered to any caller.'
  },
  lateAnswer: { number: 3202, level: 'info', text: 'Part of an answer arrived after its call had ended; it was dropped.' },
  retrying: { number: 3203, level: 'info', text: 'A stage call failed and is retried at another endpoint.' },
  slowCall: { number: 3204, level: 'warn', text: 'A stage call took far longer than usual and is retried at another endpoint.' },
  resumed: { number: 3205, level: 'info', text: 'A cut stream is resumed at another endpoint after the chunks already delivered.' },
  slowCaller: { number: 3206, level: 'warn', text: 'A caller read its stream too slowly; the stream was ended to bound memory.' },
  unknownOutcome: {
    number: 3207,
    level: 'error',
    text: 'A request that may not be repeated was sent and its outcome is not known; see the claims list.'
  },
  quarantined: { number: 3208, level: 'info', text: 'A request was refused because the prefix of its prompt crashes endpoints.' }
})

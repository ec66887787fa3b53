import { measureQuarantine, measureQuarantineBaseline, measureQuarantineHeap, quarantineBounds } from '../quarantine/measureQuarantine.js'
import type { QuarantineSize } from '../quarantine/measureQuarantine.js'
import type { Bench } from '../types.js'

const SMALL: QuarantineSize = { instances: 6, engines: 9, requestsPerSecond: 60, maxSeeds: Infinity, maxRequestSeeds: Infinity }
const SIZES: readonly QuarantineSize[] = [SMALL, { instances: 60, engines: 90, requestsPerSecond: 300, maxSeeds: 8, maxRequestSeeds: 1 }]

export const bench: Bench = {
  name: 'deadly-work',
  about: 'Parts of prompts and requests that crash engines, found and refused by 6 and 60 instances together through restarts, cuts and storms',
  seeds: 40,
  ciSeeds: 8,
  bounds: { ...quarantineBounds(SIZES), heapBytes: { max: 33_554_432 } },
  baselinesMustMiss: {
    none: ['reachedAfterBoundAt6', 'soundBegunAt6', 'request.reachedAfterBoundAt6', 'midway.reachedAfterBoundAt6'],
    alone: ['reachedAfterBoundAt6', 'request.reachedAfterBoundAt6'],
    wholePrompt: ['reachedAfterBoundAt6'],
    firstPart: ['falselyRefusedShareAt6', 'soundBegunAt6']
  },
  run: async (options) => ({
    figures: { ...await measureQuarantine(SIZES, options), heapBytes: await measureQuarantineHeap() },
    baselines: {
      none: {
        ...await measureQuarantineBaseline('none', SMALL),
        ...await measureQuarantineBaseline('none', SMALL, 'request'),
        ...await measureQuarantineBaseline('none', SMALL, 'request-midway')
      },
      alone: { ...await measureQuarantineBaseline('alone', SMALL), ...await measureQuarantineBaseline('alone', SMALL, 'request') },
      wholePrompt: await measureQuarantineBaseline('whole-prompt', SMALL),
      firstPart: await measureQuarantineBaseline('first-part', SMALL)
    }
  })
}

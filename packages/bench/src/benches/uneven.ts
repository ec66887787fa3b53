import { MILLIS_PER_SECOND } from '@papayahill/common'
import type { Bench, Bound } from '../types.js'
import { measureUneven, UNEVEN_SIZES } from '../uneven/measureUneven.js'
import { SETTLE_TIME } from '../uneven/UnevenRun.js'

const SIZES = [...UNEVEN_SIZES.keys()]

/** Targets of docs/WORK.md, part 5. */
const bounds: Readonly<Record<string, Bound>> = Object.fromEntries(SIZES.flatMap((size) => [
  [`inTimeOfBestAt${size}`, { min: 0.95 }],
  [`busiestOfFairAt${size}`, { max: 1.1 }],
  [`settledSecondsAt${size}`, { max: SETTLE_TIME / MILLIS_PER_SECOND }]
]))

export const bench: Bench = {
  name: 'uneven',
  about: 'Endpoints of 0.7 to 1.7 times the usual time, with spells of slowness and changes, called by 6, 60, 200 and 420 instances',
  seeds: 8,
  ciSeeds: 4,
  bounds,
  baselinesMustMiss: {
    roundRobin: SIZES.map((size) => `inTimeOfBestAt${size}`),
    leastInFlight: ['inTimeOfBestAt60', 'inTimeOfBestAt200', 'inTimeOfBestAt420'],
    before: ['inTimeOfBestAt60', 'inTimeOfBestAt200', 'inTimeOfBestAt420']
  },
  run: async (options) => {
    const [figures, roundRobin, leastInFlight, before] = await measureUneven(['learnt', 'round-robin', 'least-in-flight', 'before'], options)
    return { figures: figures!, baselines: { roundRobin: roundRobin!, leastInFlight: leastInFlight!, before: before! } }
  }
}

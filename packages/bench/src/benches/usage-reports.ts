import type { Bench } from '../types.js'
import { ALL_FAULTS, measureUsage, usageBounds } from '../usage/measureUsage.js'
import type { UsageSize } from '../usage/measureUsage.js'

const SMALL: UsageSize = { instances: 6, faults: ALL_FAULTS, maxSeeds: Infinity }
const SIZES: readonly UsageSize[] = [
  SMALL,
  { instances: 60, faults: ['deaths', 'restored'], maxSeeds: 1 },
  { instances: 200, faults: ['deaths'], maxSeeds: 1 }
]

export const bench: Bench = {
  name: 'usage-reports',
  about: 'Usage reported by window at 6, 60 and 200 instances, through deaths, cuts, lost answers, a store that is down or restored, and wrong clocks',
  seeds: 30,
  ciSeeds: 2,
  bounds: usageBounds(SIZES),
  baselinesMustMiss: { alone: ['contradictedAt6', 'worstErrorAt6'] },
  run: async (options) => ({
    figures: await measureUsage(SIZES, options),
    baselines: { alone: await measureUsage([{ ...SMALL, faults: ['deaths', 'restored'], maxSeeds: 3 }], options, true) }
  })
}

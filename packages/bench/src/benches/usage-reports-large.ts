import type { Bench } from '../types.js'
import { ALL_FAULTS, measureUsage, usageBounds } from '../usage/measureUsage.js'
import type { UsageSize } from '../usage/measureUsage.js'

const SIZES: readonly UsageSize[] = [
  { instances: 60, faults: ALL_FAULTS, maxSeeds: Infinity },
  { instances: 200, faults: ['deaths', 'domain', 'storeDown', 'restored', 'clocks'], maxSeeds: 1 }
]

export const bench: Bench = {
  name: 'usage-reports-large',
  about: 'Usage reported by window through all faults at 60 instances, and through five of them at 200',
  seeds: 2,
  ciSeeds: 0,
  bounds: usageBounds(SIZES),
  run: async (options) => ({ figures: await measureUsage(SIZES, options), baselines: {} })
}

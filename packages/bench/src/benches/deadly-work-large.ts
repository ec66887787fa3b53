import { measureQuarantine, quarantineBounds } from '../quarantine/measureQuarantine.js'
import type { QuarantineSize } from '../quarantine/measureQuarantine.js'
import type { Bench } from '../types.js'

const SIZES: readonly QuarantineSize[] = [
  { instances: 200, engines: 300, requestsPerSecond: 800, maxSeeds: 8, maxRequestSeeds: 3 },
  { instances: 420, engines: 600, requestsPerSecond: 1600, maxSeeds: 8, maxRequestSeeds: 3 }
]

export const bench: Bench = {
  name: 'deadly-work-large',
  about: 'The same as deadly-work, with 200 and 420 instances',
  seeds: 8,
  ciSeeds: 0,
  bounds: quarantineBounds(SIZES),
  run: async (options) => ({ figures: await measureQuarantine(SIZES, options), baselines: {} })
}

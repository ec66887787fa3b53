import { brand, bytes, exponential, millis, seconds, SeededRandom } from '@papayahill/common'
import type { EndpointId, ServiceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { groupOf } from './endpointGroups.js'
import { TEST_PROFILE } from './testing/stageEndpoint.js'
import { chainOf, endpointsOf, StageHarness, workOf } from './testing/StageHarness.js'

const SERVICES = ['cut', 'scan', 'note'] as const
const ENDPOINTS_PER_SERVICE = 20
const INSTANCES = 100
/** Pieces of each stage of a request. */
const COUNTS = [1, 3, 4]
const TARGET = millis(1800)
const TIMEOUT = millis(6000)

/** Capacity of the busiest stage with full batches, in requests per second. */
const CAPACITY = ENDPOINTS_PER_SERVICE * TEST_PROFILE.size * 1000 /
  (TEST_PROFILE.callTime + TEST_PROFILE.size * TEST_PROFILE.pieceTime) / Math.max(...COUNTS)

describe('groups of endpoints', () => {
  // Guards against one instance that all pieces of a service pass through.
  it.each([[4, 1], [8, 1], [13, 2], [40, 5]])('share the %i endpoints of a service among %i groups', (endpoints, groups) => {
    const ids = endpointsOf('cut', endpoints).map(([, id]) => id)
    const found = new Set(ids.map((id) => groupOf(brand<ServiceId>('cut'), brand<EndpointId>(id), endpoints)))
    expect(found.size).toBe(groups)
  })

  describe('100 instances that each send few requests', () => {
    it('keep all endpoints busy: at 0.85 of their capacity nearly all requests meet their target', { timeout: 60_000 }, async () => {
      const endpoints = SERVICES.flatMap((service) => endpointsOf(service, ENDPOINTS_PER_SERVICE))
      const harness = new StageHarness(INSTANCES, endpoints, { profile: { ...TEST_PROFILE, resultCapacity: bytes(400) } })
      await harness.start()
      const random = new SeededRandom(1)
      const startedAt = harness.clock.now()
      const took: Array<Promise<number | undefined>> = []
      while (harness.clock.now() - startedAt < seconds(6)) {
        const work = workOf(harness, `r${took.length}`, chainOf(5, ...SERVICES), COUNTS, TARGET, TIMEOUT)
        took.push(harness.serve(Math.floor(random.next() * INSTANCES), work))
        await harness.clock.advance(millis(exponential(random, 1000 / (CAPACITY * 0.85))))
      }
      await harness.clock.advance(TIMEOUT)
      const times = await Promise.all(took)
      const inTime = times.filter((time) => time !== undefined && time <= TARGET).length
      expect(inTime / times.length).toBeGreaterThan(0.95)
    })
  })
})

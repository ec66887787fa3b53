import { bytes, exponential, millis, seconds, SeededRandom, SILENT_LOG, VirtualClock } from '@papayahill/common'
import { EndpointDirectory } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { groupsIn } from './endpointGroups.js'
import { stageRecord, TEST_PROFILE } from './testing/stageEndpoint.js'
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

const rowsOf = (ids: readonly string[]) => ids.map((key) => ({ key, value: { record: stageRecord(key, 'cut') }, revision: 1 }))

/** A directory that has read the given endpoints of one service. */
const directoryOf = (ids: readonly string[]): EndpointDirectory => {
  const directory = new EndpointDirectory({ clock: new VirtualClock(), log: SILENT_LOG, isDomainOut: () => false })
  directory.replaced(rowsOf(ids), millis(0))
  return directory
}

/** Number of endpoints of each group. */
const groupSizes = (directory: EndpointDirectory): readonly number[] => {
  const { groupOf } = groupsIn(directory)
  const groups = directory.services.flatMap((service) => directory.all(service)).map(({ id }) => groupOf(id))
  return [...new Set(groups)].map((group) => groups.filter((each) => each === group).length)
}

describe('groups of endpoints', () => {
  // Guards against one instance that all pieces of a service pass through, or most of them.
  it.each([[4, 1], [8, 1], [13, 2], [40, 5]])('share the %i endpoints of a service evenly among %i groups', (endpoints, groups) => {
    const sizes = groupSizes(directoryOf(endpointsOf('cut', endpoints).map(([, id]) => id)))
    expect(sizes.length).toBe(groups)
    expect(Math.max(...sizes)).toBe(Math.ceil(endpoints / groups))
  })

  it('are shared out anew when an endpoint is replaced by another one', () => {
    const directory = directoryOf(endpointsOf('cut', 13).map(([, id]) => id))
    const { groupOf } = groupsIn(directory)
    const [gone, ...rest] = directory.services.flatMap((service) => directory.all(service))
    const before = new Map(rest.map(({ id }) => [id, groupOf(id)]))
    directory.replaced(rowsOf(['new', ...rest.map(({ id }) => id)]), millis(0))
    const ids = directory.services.flatMap((service) => directory.all(service)).map(({ id }) => id)
    expect(ids).not.toContain(gone!.id)
    expect(ids.map((id) => groupOf(id))).not.toContain(undefined)
    expect(rest.filter(({ id }) => groupOf(id) !== before.get(id)).length).toBeLessThanOrEqual(2)
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

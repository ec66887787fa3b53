import { millis, seconds } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { BrittleServer } from './testing/BrittleServer.js'
import { LimitHarness } from './testing/LimitHarness.js'
import type { LimitHarnessOptions } from './testing/LimitHarness.js'
import { endpointRow } from './testing/limitedEndpoint.js'

const ENDPOINTS = 4
const SLOTS = 6
/** Twice what the endpoints bear. */
const REQUESTS_PER_SECOND = 2 * ENDPOINTS * SLOTS / 0.15
const REJECTIONS_PER_SECOND = 2
const MAX_FALLS = 2 + 0.1 * ENDPOINTS
const MIN_GOODPUT = 0.9
const MAX_BYTES_PER_SECOND = 3072
const CONTACT_TIME = seconds(3)
const RUN = seconds(15)
/** Span at hundreds of instances, and the real time that such a test may take beside other work. */
const LARGE_RUN = seconds(10)
const MAX_TEST_TIME = seconds(300)

type Harness = LimitHarness<BrittleServer>

const started = async (options: Partial<LimitHarnessOptions> = {}, slots = SLOTS): Promise<Harness> => {
  const harness = new LimitHarness<BrittleServer>(
    { instances: 9, endpoints: ENDPOINTS, requestsPerSecond: REQUESTS_PER_SECOND, seed: 5, ...options },
    (clock, id) => new BrittleServer(clock, id, slots)
  )
  await harness.start()
  return harness
}

/** Instances whose endpoints have become brittle, from the time on from which that is judged. */
const brittle = async (options: Partial<LimitHarnessOptions> = {}): Promise<Harness> => {
  const harness = await started(options)
  for (const server of harness.servers) server.name(REJECTIONS_PER_SECOND)
  await harness.clock.advance(CONTACT_TIME)
  return harness
}

interface Figures {
  readonly falls: number
  /** Most rejections of one endpoint in a second. */
  readonly rejections: number
  /** Share of what the endpoints bear that was done. */
  readonly goodput: number
  /** Bytes per second that the busiest instance sent to others. */
  readonly bytes: number
}

/** What happens from now on while `act` runs. */
const measure = async (harness: Harness, act: () => Promise<void>): Promise<Figures> => {
  const { clock, servers } = harness
  const from = clock.now()
  const bytesBefore = harness.controlBytes
  await act()
  const goodput = servers.reduce((sum, server) => sum + server.goodput(from), 0) / servers.length
  return {
    falls: servers.reduce((sum, server) => sum + server.falls.filter((at) => at >= from).length, 0),
    rejections: Math.max(...servers.map((server) => server.mostRejections(from))),
    goodput: Math.round(goodput * 100) / 100,
    bytes: Math.round((harness.controlBytes - bytesBefore) * 1000 / (clock.now() - from))
  }
}

describe('brittle endpoints under twice the load that they bear', () => {
  it.each([[3, RUN], [60, RUN], [200, RUN], [420, LARGE_RUN]])('do not fall over and are used at %i instances', async (instances, span) => {
    const harness = await brittle({ instances })
    const figures = await measure(harness, () => harness.clock.advance(span))
    expect(figures.falls).toBe(0)
    expect(figures.rejections).toBeLessThanOrEqual(REJECTIONS_PER_SECOND)
    expect(figures.goodput).toBeGreaterThan(MIN_GOODPUT)
    expect(figures.bytes).toBeLessThan(MAX_BYTES_PER_SECOND)
  }, MAX_TEST_TIME)

  it('fall over if instances ignore what they say', async () => {
    const harness = await brittle({ policy: 'ignored' })
    const figures = await measure(harness, () => harness.clock.advance(RUN))
    expect(figures.falls).toBeGreaterThan(MAX_FALLS)
  })

  it('are used also where only one instance has callers', async () => {
    const harness = await brittle({ hasCallers: (at) => at === 0, requestsPerSecond: 9 * REQUESTS_PER_SECOND })
    const figures = await measure(harness, () => harness.clock.advance(RUN))
    expect(figures.rejections).toBeLessThanOrEqual(REJECTIONS_PER_SECOND)
    expect(figures.goodput).toBeGreaterThan(MIN_GOODPUT)
  })

  describe('do not fall over', () => {
    it('on both sides of a cut between instances', async () => {
      const harness = await brittle()
      harness.setPartition(harness.instances.slice(0, 4), harness.instances.slice(4), true)
      const figures = await measure(harness, () => harness.clock.advance(RUN))
      expect(figures.falls).toBe(0)
      expect(figures.goodput).toBeGreaterThan(MIN_GOODPUT)
    })

    it('without any links, from before they are brittle on', async () => {
      const harness = await started()
      harness.setPartition(harness.instances, harness.instances, true)
      for (const server of harness.servers) server.name(REJECTIONS_PER_SECOND)
      await harness.clock.advance(CONTACT_TIME)
      const figures = await measure(harness, () => harness.clock.advance(RUN))
      expect(figures.falls).toBe(0)
      expect(figures.goodput).toBeGreaterThan(MIN_GOODPUT)
    })

    it('through restarts of all instances, one after the other', async () => {
      const harness = await brittle()
      const figures = await measure(harness, async () => {
        for (let at = 0; at < 9; at++) {
          harness.kill(at)
          await harness.clock.advance(seconds(1))
          harness.restart(at)
          await harness.clock.advance(seconds(2))
        }
      })
      expect(figures.falls).toBeLessThanOrEqual(MAX_FALLS)
    })

    it('while an instance is frozen for a time', async () => {
      const harness = await brittle()
      const figures = await measure(harness, async () => {
        void harness.freeze(0, seconds(4))
        await harness.clock.advance(RUN)
      })
      expect(figures.falls).toBe(0)
    })
  })

  it('get requests as before once their answers no longer say so', async () => {
    const harness = await brittle()
    for (const server of harness.servers) server.name(undefined)
    await harness.clock.advance(seconds(2))
    const states = harness.instances.map(({ directory }) => directory.stateCounts().get('brittle'))
    expect(states).toEqual(harness.instances.map(() => 0))
  })

  it('are not brittle in their next incarnation', async () => {
    const harness = await brittle()
    for (const server of harness.servers) server.name(undefined)
    for (const { directory } of harness.instances) {
      directory.changed(harness.servers.map(({ id, slots }) => endpointRow(id, { startedAt: 2000, slots })), millis(0))
    }
    const states = harness.instances.map(({ directory }) => directory.stateCounts().get('brittle'))
    expect(states).toEqual(harness.instances.map(() => 0))
  })
})

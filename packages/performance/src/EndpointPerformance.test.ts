import { EventRecorder, millis, seconds, VirtualClock } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { PERFORMANCE_EVENTS } from './events.js'
import { SlowEndpoints } from './SlowEndpoints.js'
import { newEndpoint, PerformanceHarness, USUAL_TIME, WORK } from './testing/PerformanceHarness.js'

/** Two endpoints of equal speed that are known well. */
const settled = async (perSecond = 15) => {
  const harness = new PerformanceHarness()
  const [first, second] = [harness.add('e1'), harness.add('e2')]
  await harness.call(perSecond, seconds(6))
  return { harness, first, second, performance: harness.performance }
}

describe('SlowEndpoints', () => {
  it('logs a bounded number of events when many endpoints become slow and recover again and again', async () => {
    const clock = new VirtualClock()
    const log = new EventRecorder(clock)
    const slow = new SlowEndpoints(clock, log)
    const endpoints = Array.from({ length: 40 }, (_none, at) => newEndpoint(`e${at}`))
    for (let round = 0; round < 50; round++) {
      for (const endpoint of endpoints) slow.update(endpoint, 10, round % 2 === 0 ? 1 : 0)
      await clock.advance(millis(100))
    }
    expect(slow.size).toBe(0)
    expect(log.records.length).toBeLessThanOrEqual(10)
  })

  it('counts nothing as slow before it was called some times', () => {
    const clock = new VirtualClock()
    const slow = new SlowEndpoints(clock, new EventRecorder(clock))
    slow.update(newEndpoint('e1'), 2, 1)
    expect(slow.size).toBe(0)
  })
})

describe('EndpointPerformance', () => {
  it('learns the speeds of endpoints whose slots would make them look equal', async () => {
    const harness = new PerformanceHarness()
    const [fast, usual, slow] = [harness.add('e1', { slowness: 0.7 }), harness.add('e2'), harness.add('e3', { slowness: 1.7 })]
    await harness.call(15, seconds(4))
    expect(harness.ratio(fast, usual)).toBeCloseTo(0.7, 1)
    expect(harness.ratio(slow, usual)).toBeGreaterThan(1.5)
    expect(harness.ratio(slow, usual)).toBeLessThan(1.9)
    const expected = harness.performance.expectedTime(slow.endpoint, WORK, 0)!
    expect(expected / USUAL_TIME).toBeGreaterThan(1.5)
    expect(expected / USUAL_TIME).toBeLessThan(1.9)
  })

  for (const [slowness, perSecond] of [[1.7, 10], [1.7, 30], [2.4, 10], [2.4, 30], [0.6, 10], [0.6, 30]] as const) {
    it(`follows a change to ${slowness} times the usual time within 2 s at ${perSecond} calls a second`, async () => {
      const { harness, first, second } = await settled(perSecond)
      first.slowness = slowness
      await harness.call(perSecond, seconds(2))
      expect(Math.abs(Math.log(harness.ratio(first, second) / slowness))).toBeLessThan(Math.abs(Math.log(slowness)) * 0.25)
    })
  }

  it('is not misled by one slow call, however slow it was', async () => {
    const { harness, first, second } = await settled(5)
    const before = harness.ratio(first, second)
    await Promise.all([harness.callOnce(first, 3000), harness.clock.advance(seconds(4))])
    expect(harness.ratio(first, second) / before).toBeLessThan(1.3)
  })

  it('is not misled by an endpoint\'s first call', async () => {
    const { harness, second } = await settled()
    const fresh = harness.add('e3')
    await Promise.all([harness.callOnce(fresh, 3000), harness.clock.advance(seconds(4))])
    expect(harness.ratio(fresh, second)).toBeLessThan(1.35)
  })

  it('does not take its own queueing at the endpoint for slowness', async () => {
    const { harness, first, second } = await settled()
    for (let at = 0; at < 24; at++) void harness.callOnce(first)
    await harness.clock.advance(seconds(1))
    expect(harness.ratio(first, second)).toBeGreaterThan(0.75)
    expect(harness.ratio(first, second)).toBeLessThan(1.3)
  })

  it('takes calls that one cut path held up together for one sign of slowness at most', async () => {
    const { harness, first, second } = await settled()
    first.blockedUntil = harness.clock.now() + 700
    await harness.call(15, millis(710))
    expect(harness.ratio(first, second)).toBeLessThan(1.35)
  })

  it('learns nothing from a cold endpoint, whose calls are slow for another reason', async () => {
    const { harness, first, second } = await settled()
    const before = harness.ratio(first, second)
    first.endpoint.coldUntil = millis(harness.clock.now() + 2000)
    first.slowness = 3
    await harness.call(15, millis(1900), [first])
    expect(harness.ratio(first, second) / before).toBeLessThan(1.1)
  })

  it('forgets an endpoint with its incarnation: the next one may be faster', async () => {
    const harness = new PerformanceHarness()
    const slow = harness.add('e1', { slowness: 1.7 })
    harness.add('e2')
    await harness.call(15, seconds(4))
    slow.endpoint.isGone = true
    harness.performance.forget(slow.endpoint)
    expect(harness.performance.learnt(slow.endpoint, 'plain')).toBeUndefined()
    expect(harness.performance.learnt(newEndpoint('e1', 2), 'plain')).toBeUndefined()
    expect(harness.performance.slowness(newEndpoint('e1', 2), 'plain')).toBeLessThan(1.4)
  })

  it('tries an endpoint again that was slow and got no calls since: what is known of it ages', async () => {
    const harness = new PerformanceHarness()
    const [slow, usual] = [harness.add('e1', { slowness: 3 }), harness.add('e2')]
    await harness.call(15, seconds(4))
    const before = harness.ratio(slow, usual)
    await harness.call(15, seconds(20), [usual])
    expect(harness.ratio(slow, usual)).toBeLessThan(1 + (before - 1) * 0.5)
  })

  it('counts a reported slowdown at once, and no longer after its period', async () => {
    const { harness, first, second } = await settled()
    first.momentary = 2.5
    harness.report(first)
    expect(harness.ratio(first, second)).toBeGreaterThan(2)
    await harness.clock.advance(millis(300))
    expect(harness.ratio(first, second)).toBeGreaterThan(1.3)
    expect(harness.ratio(first, second)).toBeLessThan(2)
    await harness.clock.advance(millis(300))
    expect(harness.ratio(first, second)).toBeLessThan(1.2)
  })

  it('expects the same of a slow endpoint whether or not its reports contain its lasting slowness', async () => {
    const harness = new PerformanceHarness()
    const usual = harness.add('e1')
    const [told, untold] = [harness.add('e2', { momentary: 1.7 }), harness.add('e3', { slowness: 1.7 })]
    await harness.call(15, seconds(20))
    for (const wait of [0, 2000]) {
      await harness.clock.advance(millis(wait))
      for (const slow of [told, untold]) {
        expect(harness.ratio(slow, usual)).toBeGreaterThan(1.45)
        expect(harness.ratio(slow, usual)).toBeLessThan(1.95)
      }
    }
  })

  it('does not take a reported spell of slowness for lasting slowness', async () => {
    const { harness, first, second } = await settled()
    first.momentary = 2.5
    harness.report(first)
    await harness.call(15, millis(600))
    first.momentary = 1
    await harness.call(15, millis(300))
    expect(harness.ratio(first, second)).toBeLessThan(1.35)
  })

  it('learns beyond how many calls an endpoint slows down, and keeps all slots for one that does not', async () => {
    const harness = new PerformanceHarness()
    const [early, late] = [harness.add('e1', { comfortable: 3 }), harness.add('e2')]
    await harness.call(28, seconds(10))
    const { performance } = harness
    expect(performance.comfortableConcurrency(early.endpoint, 'plain')).toBeGreaterThanOrEqual(2)
    expect(performance.comfortableConcurrency(early.endpoint, 'plain')).toBeLessThanOrEqual(5)
    expect(performance.comfortableConcurrency(late.endpoint, 'plain')).toBeGreaterThanOrEqual(7)
    expect(performance.expectedFactor(early.endpoint, 'plain', 7)).toBeGreaterThan(1.5 * performance.expectedFactor(early.endpoint, 'plain', 0))
  })

  it('learns nothing where endpoints report no slowdown', async () => {
    const harness = new PerformanceHarness()
    const { endpoint } = harness.add('e1')
    endpoint.load = { running: 0, waiting: 0, slots: 8, at: harness.clock.now() }
    expect(harness.performance.begin(endpoint)).toBeUndefined()
    expect(harness.performance.isActive([endpoint])).toBe(false)
  })

  it('logs once that an endpoint became slow, and once that it recovered', async () => {
    const { harness, first } = await settled()
    first.slowness = 2.4
    await harness.call(15, seconds(8))
    expect(harness.performance.slowCount).toBe(1)
    first.slowness = 1
    await harness.call(15, seconds(8))
    expect(harness.performance.slowCount).toBe(0)
    expect(harness.log.records.map(({ kind }) => kind)).toEqual([PERFORMANCE_EVENTS.endpointSlow, PERFORMANCE_EVENTS.endpointRecovered])
  })
})

import { brand, millis, seconds } from '@papayahill/common'
import type { InstanceId, Millis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { holdersOf } from './divideLimit.js'
import { limitedEndpoint } from './testing/limitedEndpoint.js'
import { LimitHarness } from './testing/LimitHarness.js'
import type { LimitHarnessOptions } from './testing/LimitHarness.js'

const SETTLE = seconds(5)
const RUN = seconds(12)
/** Share of the limit that must be used while callers are refused. */
const MIN_USED_SHARE = 0.8

const started = async (options: Partial<LimitHarnessOptions> = {}): Promise<LimitHarness> => {
  const harness = new LimitHarness({ instances: 9, endpoints: 1, requestsPerSecond: 40, seed: 7, ...options })
  await harness.start()
  return harness
}

const limited = async (perSecond: number, options: Partial<LimitHarnessOptions> = {}): Promise<LimitHarness> => {
  const harness = await started(options)
  for (const server of harness.servers) server.name(perSecond)
  await harness.clock.advance(SETTLE)
  return harness
}

const worst = ({ servers }: LimitHarness): number => Math.max(...servers.map((server) => server.worstShareOfBound('all')))

/** Share of the limits that is used in a span from now. */
const usedShare = async ({ clock, servers }: LimitHarness, perSecond: number, span: Millis): Promise<number> => {
  const from = clock.now()
  await clock.advance(span)
  return servers.reduce((sum, server) => sum + server.arrivalsSince(from), 0) / (perSecond * servers.length * span / 1000)
}

describe('SharedRateLimiter', () => {
  it.each([[1, 0.5], [6, 1], [9, 1], [9, 20], [40, 1], [40, 30]])(
    'keeps and uses the limit with %i instances and %d requests per second', async (instances, perSecond) => {
      const harness = await limited(perSecond, { instances, requestsPerSecond: Math.max(40, 3 * perSecond) })
      expect(await usedShare(harness, perSecond, seconds(20))).toBeGreaterThan(MIN_USED_SHARE)
      expect(worst(harness)).toBeLessThanOrEqual(1)
    })

  it('uses the limit also where only instances without a share have callers', async () => {
    const ids = Array.from({ length: 9 }, (_none, at) => brand<InstanceId>(`i${at}`))
    const holders = holdersOf(`e0 ${limitedEndpoint('e0').incarnation}`, 1, ids)
    const harness = await limited(1, { hasCallers: (at) => !holders.includes(ids[at]!) })
    expect(holders.length).toBeLessThan(ids.length)
    expect(await usedShare(harness, 1, seconds(20))).toBeGreaterThan(MIN_USED_SHARE)
    expect(worst(harness)).toBeLessThanOrEqual(1)
  })

  describe('keeps the limit', () => {
    it('on both sides of a cut', async () => {
      const harness = await limited(5)
      harness.setPartition(harness.instances.slice(0, 4), harness.instances.slice(4), true)
      expect(await usedShare(harness, 5, RUN)).toBeGreaterThan(0.5)
      expect(worst(harness)).toBeLessThanOrEqual(1)
    })

    it('without any links, where each instance has its own share and no more', async () => {
      const harness = await limited(5)
      harness.setPartition(harness.instances, harness.instances, true)
      expect(await usedShare(harness, 5, RUN)).toBeGreaterThan(0.2)
      expect(worst(harness)).toBeLessThanOrEqual(1)
    })

    it('through restarts of all instances, one after the other', async () => {
      const harness = await limited(1)
      for (let at = 0; at < 9; at++) {
        harness.kill(at)
        await harness.clock.advance(millis(700))
        harness.restart(at)
        await harness.clock.advance(millis(600))
      }
      expect(worst(harness)).toBeLessThanOrEqual(1)
    })

    it('while instances join', async () => {
      const harness = await limited(1, { instances: 4 })
      for (let at = 4; at < 12; at++) {
        harness.restart(at)
        await harness.clock.advance(millis(500))
      }
      expect(await usedShare(harness, 1, seconds(20))).toBeGreaterThan(MIN_USED_SHARE)
      expect(worst(harness)).toBeLessThanOrEqual(1)
    })

    it('when instances wake that were frozen: no tokens were saved up', async () => {
      const harness = await limited(20)
      const frozen = [0, 1, 2, 3, 4, 5].map((at) => harness.freeze(at, seconds(6)))
      await harness.clock.advance(seconds(6))
      await Promise.all(frozen)
      await harness.clock.advance(SETTLE)
      expect(worst(harness)).toBeLessThanOrEqual(1)
    })
  })

  describe('when the endpoint changes its limit', () => {
    it('applies a lower one at once', async () => {
      const harness = await limited(20)
      harness.servers[0]!.name(1)
      await harness.clock.advance(millis(500))
      const share = await usedShare(harness, 1, RUN)
      expect(share).toBeGreaterThan(MIN_USED_SHARE)
      expect(share).toBeLessThan(1.5)
    })

    it('applies a higher one without a burst', async () => {
      const harness = await limited(1)
      harness.servers[0]!.name(20)
      await harness.clock.advance(seconds(3))
      expect(await usedShare(harness, 20, RUN)).toBeGreaterThan(MIN_USED_SHARE)
      expect(worst(harness)).toBeLessThanOrEqual(1)
    })

    it.each([1, 0.2])('ends one of %d at all instances, with or without a share', async (perSecond) => {
      const harness = await limited(perSecond)
      harness.servers[0]!.name(undefined)
      expect(await harness.clock.advanceUntil(() => harness.isUnlimited, seconds(Math.max(4, 2 / perSecond)))).toBe(true)
    })

    it('ends it although other endpoints could serve all requests', async () => {
      const harness = await started({ endpoints: 3 })
      harness.servers[0]!.name(1)
      await harness.clock.advance(SETTLE)
      harness.servers[0]!.name(undefined)
      expect(await harness.clock.advanceUntil(() => harness.isUnlimited, seconds(4))).toBe(true)
    })
  })

  it('refuses no caller while another endpoint has no limit', async () => {
    const harness = await started({ endpoints: 2 })
    harness.servers[0]!.name(1)
    await harness.clock.advance(SETTLE)
    const { refused } = harness
    await harness.clock.advance(RUN)
    expect(harness.refused).toBe(refused)
  })
})

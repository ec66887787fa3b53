import { millis, seconds } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { DutyHarness } from './testing/DutyHarness.js'

const NO_VIOLATIONS = { sharedTokens: 0, tokensBack: 0, interleaved: 0 }

describe('DutyLease', () => {
  it('is held by exactly one instance after the start', async () => {
    const harness = new DutyHarness({ size: 6 })
    await harness.startAll()
    expect(harness.instances.filter(({ lease }) => lease.isHeld)).toHaveLength(1)
    const { id } = harness.holder!
    await harness.clock.advance(seconds(30))
    expect(harness.holder?.id).toBe(id)
    expect(harness.platform.acts.length).toBeGreaterThan(100)
  })

  it('passes to another instance within the lease time and its margin after a kill', async () => {
    const harness = new DutyHarness({ size: 6 })
    await harness.startAll()
    harness.kill(harness.holder!)
    expect(await harness.clock.advanceUntil(() => harness.holder !== undefined, seconds(4))).toBe(true)
    await harness.clock.advance(seconds(3))
    expect(harness.platform.violations).toEqual(NO_VIOLATIONS)
    expect(harness.platform.acts.at(-1)?.holder).toBe(harness.holder?.id)
  })

  it('passes at once after a planned stop', async () => {
    const harness = new DutyHarness({ size: 6 })
    await harness.startAll()
    await harness.clock.advance(seconds(10))
    const stopped = harness.stop(harness.holder!)
    expect(await harness.clock.advanceUntil(() => harness.holder !== undefined && harness.holder.lease.status().takes > 0, seconds(2))).toBe(true)
    await harness.clock.advance(millis(1000))
    await stopped
    expect(harness.platform.violations).toEqual(NO_VIOLATIONS)
    console.log(harness.events.records.map((r) => `${r.at - 1798992000000} ${r.kind.name} ${JSON.stringify(r.fields)}`))
  })
})

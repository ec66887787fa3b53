import { EventRecorder, millis, seconds, VirtualClock } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { playFault } from './testing/playFault.js'
import { USAGE_FAULTS } from './testing/usageFaults.js'
import type { UsageFault, UsageFaultName } from './testing/usageFaults.js'
import { UsageHarness } from './testing/UsageHarness.js'
import type { UsageHarnessOptions } from './testing/UsageHarness.js'

const TOLERANCE = 0.05
const OPTIONS = { instances: 6, requestsPerSecond: 900, workspaces: 6 }

const optionsOf = (seed: number, other: Partial<UsageHarnessOptions> = {}): UsageHarnessOptions => ({ ...OPTIONS, seed, ...other })

const FAULTS = Object.entries(USAGE_FAULTS) as ReadonlyArray<readonly [UsageFaultName, UsageFault]>

describe('usage of six instances', () => {
  for (const [name, { about, losesCounts = false }] of FAULTS) {
    it(`is reported once for each window, in time and ${losesCounts ? 'without what arrived late' : 'within the tolerance'}: ${about}`, async () => {
      for (const seed of [1, 2, 3]) {
        const { judgement } = await playFault(name, optionsOf(seed))
        expect(judgement).toMatchObject({ missing: 0, contradicted: 0, inTime: judgement.due })
        if (!losesCounts) expect(judgement.worstError).toBeLessThanOrEqual(TOLERANCE)
      }
    })
  }

  it('is reported as well where the store names no era', async () => {
    for (const seed of [1, 2, 3]) {
      const { judgement } = await playFault('restored', optionsOf(seed, { namesEra: false }))
      expect(judgement).toMatchObject({ missing: 0, contradicted: 0, inTime: judgement.due })
    }
  })

  it('is reported twice with different counts where holders share neither rows nor copies, so that the check can fail', async () => {
    const { judgement } = await playFault('deaths', optionsOf(1, { isAlone: true }))
    expect(judgement.contradicted).toBeGreaterThan(0)
    expect(judgement.worstError).toBeGreaterThan(TOLERANCE)
  })

  it('sends an exact repeat if the holder dies after the platform accepted a report and before it knows', async () => {
    const harness = new UsageHarness(optionsOf(4))
    await harness.start()
    await harness.clock.advance(seconds(10))
    harness.platform.lostAnswers = 1
    const before = harness.platform.accepted.size
    await harness.clock.advanceUntil(() => harness.platform.accepted.size > before, seconds(10))
    harness.kill(harness.holder!)
    await harness.clock.advance(seconds(12))
    expect(harness.platform.repeats).toBeGreaterThan(0)
    expect(harness.platform.contradicted.size).toBe(0)
  })

  it('counts what arrives too late in the metrics and leaves the report as it is', async () => {
    const { harness, judgement } = await playFault('longCut', optionsOf(1))
    expect(judgement.contradicted).toBe(0)
    expect(harness.holder!.usage.status().lateRequests).toBeGreaterThan(0)
  })

  it('reports windows without any request, with no counts', async () => {
    const harness = new UsageHarness(optionsOf(1, { requestsPerSecond: 0 }))
    await harness.start()
    const from = harness.window
    await harness.clock.advance(seconds(30))
    for (let window = from; window < harness.window - 2; window++) expect(harness.platform.accepted.get(window)?.counts.size).toBe(0)
  })

  it('does not report windows of which nothing is known after all instances died, and goes on from the restart', async () => {
    const log = new EventRecorder(new VirtualClock())
    const harness = new UsageHarness(optionsOf(1, { log }))
    await harness.start()
    await harness.clock.advance(seconds(20))
    for (const instance of harness.alive) harness.kill(instance)
    const dead = harness.window
    await harness.clock.advance(seconds(60))
    for (let at = 0; at < OPTIONS.instances; at++) harness.add(at)
    const back = harness.window
    await harness.clock.advance(seconds(40))
    for (let window = dead + 1; window < back; window++) expect(harness.platform.accepted.has(window)).toBe(false)
    for (let window = back + 1; window < harness.window - 2; window++) expect(harness.platform.accepted.has(window)).toBe(true)
    expect(log.records.map(({ kind }) => kind.name)).toContain('windowsUnknown')
    expect(harness.platform.contradicted.size).toBe(0)
  })

  it('writes all windows of an outage of the store in one transaction', async () => {
    const harness = new UsageHarness(optionsOf(2))
    await harness.start()
    await harness.clock.advance(seconds(12))
    harness.store.isDown = true
    await harness.clock.advance(seconds(31))
    const rows = new Set(harness.store.rows.map(({ key }) => key))
    harness.store.isDown = false
    await harness.clock.advanceUntil(() => harness.store.rows.some(({ key }) => !rows.has(key)), seconds(10))
    const added = harness.store.rows.filter(({ key }) => !rows.has(key))
    expect(added.length).toBeGreaterThanOrEqual(5)
    expect(new Set(added.map(({ revision }) => revision)).size).toBe(1)
    await harness.clock.advance(millis(2000))
    for (const { key } of added) expect(harness.platform.accepted.has(Number(key.split('/')[1]))).toBe(true)
  })
})

import { seconds } from '@papayahill/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { SCALING_EVENTS } from './events.js'
import { SCALING_ROW } from './ScalingRow.js'
import { EAST, samplesOf } from './testing/planning.js'
import { rowOf, ScalerHarness } from './testing/ScalerHarness.js'

let harness: ScalerHarness

beforeEach(() => { harness = new ScalerHarness() })

const resume = async (load = 20): Promise<void> => {
  harness.samples = samplesOf(load)
  harness.lease.give(1)
  await harness.run(10)
}

describe('a store that does not answer', () => {
  it('leaves the last orders, until it answers again', async () => {
    await resume(20)
    harness.table.access = 'refuses'
    harness.samples = samplesOf(80)
    await harness.run(20)
    expect(harness.received).toEqual([])
    harness.samples = samplesOf(60)
    harness.table.access = 'serves'
    await harness.run(4)
    const { endpoints } = harness.scaler.status()[0]!
    expect(harness.counts).toEqual(endpoints)
    expect(harness.received.length).toBeGreaterThan(0)
  })

  it('is asked again before anything is sent on a write whose outcome is open', async () => {
    await resume(20)
    harness.table.access = 'lost'
    harness.samples = samplesOf(80)
    await harness.run(2)
    expect(harness.received).toEqual([])
    harness.table.access = 'serves'
    await harness.run(6)
    expect(harness.received).toHaveLength(2)
    expect(harness.received.every(({ row }) => JSON.stringify(row).includes('"east",'))).toBe(true)
  })

  it('may change the row behind its back: the row is read again, and the newest plan written', async () => {
    await resume(20)
    harness.table.put(SCALING_ROW, rowOf(19))
    harness.samples = samplesOf(80)
    await harness.run(6)
    expect(harness.eventCount(SCALING_EVENTS.ordersConflicted)).toBe(1)
    expect(harness.counts.get(EAST)).toBeGreaterThan(5)
    expect(Math.max(...harness.received.map(({ endpoints }) => endpoints))).toBeLessThan(12)
  })
})

describe('a platform that does not accept', () => {
  it.each([
    { kind: 'refused', status: 503 }, { kind: 'unknown', detail: 'reset' }, { kind: 'unsent', detail: 'connect' }
  ] as const)('is asked again, with bounded waits: $kind', async (answer) => {
    harness.answer = answer
    await resume(80)
    const tries = harness.received.length
    expect(tries).toBeLessThanOrEqual(10)
    harness.answer = { kind: 'accepted' }
    await harness.run(5)
    expect(harness.counts.get(EAST)).toBeGreaterThan(5)
  })

  it('gets the newest plan, not the one that failed', async () => {
    harness.answer = { kind: 'unknown', detail: 'reset' }
    await resume(40)
    harness.samples = samplesOf(100)
    harness.answer = { kind: 'accepted' }
    await harness.run(6)
    expect(harness.received.at(-1)!.endpoints * 2 * 8).toBeGreaterThan(100)
  })

  it('gets nothing for as long as it asked for on 429', async () => {
    harness.answer = { kind: 'limited', retryAfter: seconds(5) }
    await resume(80)
    expect(harness.received.length).toBeLessThanOrEqual(4)
  })

  it('gets an accepted order again if the list shows for long that it was lost', async () => {
    harness.carriesOut = false
    await resume(80)
    const first = harness.received.length
    await harness.run(12)
    expect(harness.received.length).toBe(first)
    await harness.run(20)
    expect(harness.received.length).toBeGreaterThan(first)
  })
})

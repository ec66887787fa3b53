import { millis } from '@papayahill/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { SCALING_EVENTS } from './events.js'
import { SCALING_ROW } from './ScalingRow.js'
import { EAST, MEMBERS, samplesOf, WEST } from './testing/planning.js'
import { PLAIN, rowOf, SCALED, ScalerHarness } from './testing/ScalerHarness.js'

let harness: ScalerHarness

beforeEach(() => { harness = new ScalerHarness() })

const resume = async (load = 20): Promise<void> => {
  harness.samples = samplesOf(load)
  harness.lease.give(1)
  await harness.run(10)
}

describe('EndpointScaler', () => {
  it('does nothing without the lease, and makes no call to the store', async () => {
    harness.samples = samplesOf(100)
    await harness.run(30)
    expect(harness.received).toEqual([])
    expect(harness.table.reads + harness.table.commits).toBe(0)
  })

  it('orders nothing for services whose configuration does not say so', async () => {
    harness.services = harness.services.filter(({ id }) => id === PLAIN)
    await resume(100)
    expect(harness.received).toEqual([])
    expect(harness.table.commits).toBe(0)
  })

  it('orders under its token, once in the store, with a log line for each order', async () => {
    await resume(80)
    expect(harness.received.map(({ domain }) => domain).sort()).toEqual([EAST, WEST])
    for (const { domain, endpoints, token, row } of harness.received) {
      expect(token).toBe(1)
      expect(row).toMatchObject({ orders: expect.arrayContaining([[SCALED, domain, endpoints]]) })
    }
    expect(harness.eventCount(SCALING_EVENTS.endpointsOrdered)).toBe(2)
    expect(harness.scaler.orderCounts.accepted).toBe(2)
    expect(harness.scaler.status()[0]).toMatchObject({ service: SCALED, reason: 'steady' })
  })

  it('calls the store only when an order changes', async () => {
    await resume(80)
    const { storeCalls } = harness.scaler
    await harness.run(120)
    expect(harness.scaler.storeCalls).toBe(storeCalls)
    expect(storeCalls).toBe(2)
  })

  it('counts its own load, which is not reported over a link', async () => {
    await harness.run(5)
    expect(harness.reporters).toEqual([])
    await resume(20)
    expect(harness.reporters).toEqual(Array.from({ length: 10 }, () => MEMBERS[0]))
    expect(harness.confirmed).toBe(10)
  })

  it('stops with the lease, also what waits for a connection', async () => {
    harness.connectTime = millis(1500)
    harness.samples = samplesOf(80)
    harness.lease.give(1)
    await harness.run(2.2)
    harness.lease.take()
    await harness.run(20)
    expect(harness.received).toEqual([])
    expect(harness.scaler.orderCounts.unsent).toBeGreaterThan(0)
  })

  it('sends nothing while the lease is not certain to last for a call', async () => {
    harness.samples = samplesOf(80)
    harness.lease.give(1)
    await harness.run(1.5)
    harness.lease.timeLeft = 100
    await harness.run(5)
    expect(harness.received).toEqual([])
  })

  it('sends nothing under a token that it has not taken over with', async () => {
    harness.connectTime = millis(300)
    harness.samples = samplesOf(80)
    harness.lease.give(1)
    await harness.run(2.1)
    harness.lease.give(3, false)
    await harness.run(0.5)
    expect(harness.received).toEqual([])
  })

  it('sends nothing that was planned in an earlier term, before it has read the orders of others', async () => {
    harness.table.delay = async () => { await harness.clock.sleep(millis(800)) }
    harness.samples = samplesOf(80)
    harness.lease.give(1)
    await harness.run(2.5)
    harness.lease.take()
    harness.lease.give(3)
    await harness.run(10)
    expect(harness.received.length).toBeGreaterThan(0)
    expect(harness.received.every(({ token, reads }) => token === 3 && reads === 2)).toBe(true)
  })

  it('does not send an order that was replaced while it waited', async () => {
    harness.connectTime = millis(3000)
    harness.samples = samplesOf(40)
    harness.lease.give(1)
    await harness.run(3)
    harness.samples = samplesOf(100)
    await harness.run(12)
    expect(Math.min(...harness.received.map(({ endpoints }) => endpoints * 2 * 8))).toBeGreaterThan(100)
  })

  it('sends nothing of an earlier term in the next one, though both are its own', async () => {
    harness.connectTime = millis(3000)
    harness.samples = samplesOf(80)
    harness.lease.give(1)
    await harness.run(2.2)
    harness.lease.give(3)
    await harness.run(2)
    expect(harness.received).toEqual([])
    await harness.run(20)
    expect(new Set(harness.received.map(({ token }) => token))).toEqual(new Set([3]))
  })
})

describe('a new holder', () => {
  it('goes on from the last orders, and sends those again that may not have arrived', async () => {
    harness.table.put(SCALING_ROW, rowOf(3))
    harness.counts.set(EAST, 3)
    await resume(20)
    expect(harness.received).toMatchObject([{ domain: WEST, endpoints: 3, token: 1 }])
  })

  it('releases nothing before it has heard of the instances for long enough', async () => {
    harness.table.put(SCALING_ROW, rowOf(9))
    for (const domain of [EAST, WEST]) harness.counts.set(domain, 9)
    await resume(1)
    expect(harness.received).toEqual([])
    await harness.run(20)
    expect(harness.counts.get(EAST)).toBe(1)
  })

  it('releases nothing because a restored store has older orders', async () => {
    harness.table.put(SCALING_ROW, rowOf(2, 0))
    harness.table.era = 1
    harness.table.delay = async () => { await harness.clock.sleep(millis(500)) }
    for (const domain of [EAST, WEST]) harness.counts.set(domain, 9)
    await resume(90)
    expect(harness.received.map(({ endpoints }) => endpoints)).toEqual([9, 9])
    expect(harness.table.get(SCALING_ROW)).toEqual(rowOf(9, 1))
  })

  it('begins with the listed endpoints where the row cannot be read as orders', async () => {
    harness.table.put(SCALING_ROW, { era: 'x' })
    await resume(20)
    await harness.run(60)
    expect(harness.counts.get(EAST)).toBe(2)
  })
})

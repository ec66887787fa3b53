import { brand, millis, VirtualClock } from '@papayahill/common'
import type { EndpointId, InstanceId, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { ColdStartLimiter } from './ColdStartLimiter.js'
import { LimitPartitioner } from './LimitPartitioner.js'

const idsOf = (count: number): readonly InstanceId[] => Array.from({ length: count }, (_none, at) => brand<InstanceId>(`i${at}`))
const partitionersOf = (count: number, clock = new VirtualClock()): readonly LimitPartitioner[] => {
  const ids = idsOf(count)
  return ids.map((self) => new LimitPartitioner({ clock, self, instances: () => ids }))
}
const sharesOf = (count: number, name: string, limit: number): readonly number[] =>
  partitionersOf(count).map((partitioner) => partitioner.shareOf(name, limit))
const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0)

const coldEndpoint = (id: string): Endpoint => {
  const endpoint = new Endpoint({
    id: brand<EndpointId>(id),
    service: brand<ServiceId>('pool'),
    address: { ip: '10.0.0.1', port: 80 },
    domain: brand('hall-1'),
    version: 'v1',
    slots: 12,
    isDraining: false,
    coldFor: millis(0),
    sequence: 1,
    startedAt: undefined
  })
  endpoint.coldUntil = millis(60_000)
  return endpoint
}

describe('LimitPartitioner', () => {
  describe.each([6, 60, 200, 420])('%i instances', (count) => {
    it.each([9.6, 88, 110, 1040])('together use exactly a limit of %d, rounded down', (limit) => {
      for (const name of ['e1', 'e2', 'e3']) expect(sum(sharesOf(count, name, limit))).toBe(Math.floor(limit))
    })

    it('distribute the remainder differently for each endpoint', () => {
      const total = Array<number>(count).fill(0)
      for (let endpoint = 0; endpoint < 60; endpoint++) {
        sharesOf(count, `e${endpoint}`, 10).forEach((share, at) => { total[at]! += share })
      }
      const mean = 600 / count
      expect(Math.max(...total)).toBeLessThanOrEqual(mean * 2.5 + 8)
    })

    it('together never exceed the request rate of a cold endpoint', async () => {
      const clock = new VirtualClock()
      const profile = { id: brand<ServiceId>('pool'), maxConnections: 1300, coldPerSecond: 12 }
      const gates = partitionersOf(count, clock).map((partitioner) => new ColdStartLimiter(clock, () => profile, partitioner))
      const endpoint = coldEndpoint('e1')
      const sent: number[] = []
      for (let step = 0; step < 60; step++) {
        for (const gate of gates) {
          if (!gate.canAccept(endpoint)) continue
          gate.recordDispatch(endpoint)
          sent.push(clock.now())
        }
        await clock.advance(millis(50))
      }
      const inSecondBefore = sent.map((at) => sent.filter((other) => other <= at && other > at - 1000).length)
      expect(Math.max(...inSecondBefore)).toBeLessThanOrEqual(12)
      expect(sent.length).toBeGreaterThan(18)
    })
  })

  it('does not keep the shares of endpoints that are gone', async () => {
    const clock = new VirtualClock()
    const [partitioner] = partitionersOf(6, clock)
    for (let at = 0; at < 100; at++) {
      partitioner!.shareOf(`e${at} cold`, 12)
      await clock.advance(millis(300))
    }
    expect(partitioner!.size).toBeLessThan(10)
  })
})

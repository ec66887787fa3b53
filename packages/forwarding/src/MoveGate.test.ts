import { brand, EventRecorder, millis, seconds, SeededRandom, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, Json, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import type { ServingRoute } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { MoveGate } from './MoveGate.js'
import type { MoveRecord } from './MoveGate.js'

const SERVICE = brand<ServiceId>('pool')
const ROUTE = { name: 'draft' } as unknown as ServingRoute
const WITHIN = seconds(12)
const RATE_PER_SECOND = 25

const endpointOf = (version: string): Endpoint => new Endpoint({
  id: brand<EndpointId>(version),
  service: SERVICE,
  address: { ip: '10.0.0.1', port: 1 },
  domain: brand<DomainId>('hall'),
  version,
  slots: 1,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  bornAt: undefined
})

const OLD = endpointOf('v1')
const NEW = endpointOf('v2')

/** Several instances that share a store and hear each other, under one load. */
const rig = (instances: number) => {
  const clock = new VirtualClock()
  const news = new Map<number, Json>()
  let record: MoveRecord | undefined
  const gates = Array.from({ length: instances }, (_none, self) => new MoveGate({
    clock,
    random: new SeededRandom(self + 1),
    log: new EventRecorder(clock),
    records: {
      read: () => Promise.resolve(record),
      write: (_service, next) => {
        record = next
        return Promise.resolve(true)
      }
    },
    news: {
      publish: (_service, value) => { news.set(self, JSON.parse(JSON.stringify(value)) as Json) },
      heard: () => [...news].filter(([from]) => from !== self).map(([, value]) => value)
    },
    exposureShare: () => 0.1,
    isRecorder: () => self === 0
  }))
  const counts = { old: 0, fresh: 0 }
  const call = (gate: MoveGate, isBad: (endpoint: Endpoint, now: number) => boolean): void => {
    const [endpoint] = gate.admit(SERVICE, [OLD, NEW])
    counts[endpoint === NEW ? 'fresh' : 'old']++
    const status = isBad(endpoint!, clock.now()) ? 500 : 200
    gate.ended(endpoint!, ROUTE, { kind: 'answered', status, headers: [], body: Buffer.alloc(0) }, 100)
  }
  const run = async (span: number, isBad: (endpoint: Endpoint, now: number) => boolean): Promise<void> => {
    for (let at = 0; at < span * RATE_PER_SECOND; at++) {
      call(gates[at % instances]!, isBad)
      if (at % 8 === 0) for (const gate of gates) gate.tend()
      await clock.advance(millis(1000 / RATE_PER_SECOND))
    }
  }
  for (const gate of gates) gate.order({ service: SERVICE, to: 'v2', within: WITHIN }, SERVICE)
  return { run, counts, record: () => record }
}

describe('MoveGate', () => {
  it('moves to a good version by the time set', async () => {
    const { run, record } = rig(6)
    await run(12, () => false)
    expect(record()).toEqual({ to: 'v2', state: 'done' })
  })

  it('takes a bad version back with little exposure, by the answers of all instances', async () => {
    const { run, counts, record } = rig(6)
    await run(12, (endpoint, now) => endpoint === NEW && now % 2 < 1)
    expect(record()).toEqual({ to: 'v2', state: 'taken-back' })
    expect(counts.fresh).toBeLessThanOrEqual(0.1 * 12 * RATE_PER_SECOND + 50)
    const before = counts.fresh
    await run(4, () => false)
    expect(counts.fresh).toBe(before)
  })

  it('takes a version back whose faults begin when it has all requests', async () => {
    const { run, counts, record } = rig(6)
    await run(12, (endpoint, now) => endpoint === NEW && now > 10_300)
    expect(record()).toEqual({ to: 'v2', state: 'taken-back' })
    expect(counts.fresh).toBeLessThanOrEqual(0.1 * 12 * RATE_PER_SECOND + 50)
  })

  it('does not take a version back for failures that the old one has as well', async () => {
    const { run, record } = rig(6)
    let call = 0
    await run(12, () => ++call % 7 === 0)
    expect(record()?.state).toBe('done')
  })
})

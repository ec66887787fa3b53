import { brand, millis, VirtualClock } from '@papayahill/common'
import type { ServiceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { ServiceGate } from './ServiceGate.js'
import type { GateTurn } from './ServiceGate.js'

const SERVICE = brand<ServiceId>('orders')
const MIN_CONCURRENCY = 8

const turnOf = (service: ServiceId, slots: number, signal = new AbortController().signal): GateTurn =>
  ({ service, slots, priority: 1, signal })

describe('ServiceGate', () => {
  it('does not keep services without requests', async () => {
    const gate = new ServiceGate(new VirtualClock())
    for (let at = 0; at < 50; at++) {
      const service = brand<ServiceId>(`orders-${at}`)
      gate.open(service)
      await gate.run(turnOf(service, 1), async () => {})
      await gate.run(turnOf(service, 1), async () => { throw new Error('failed') }).catch(() => {})
    }
    expect(gate.size).toBe(0)
  })

  it('limits the requests of a service with more slots than a queue begins with', async () => {
    const gate = new ServiceGate(new VirtualClock())
    let running = 0
    const ends: Array<() => void> = []
    const work = async (): Promise<void> => {
      running++
      await new Promise<void>((resolve) => { ends.push(resolve) })
    }
    const all = Array.from({ length: 25 }, () => gate.run(turnOf(SERVICE, 10), work))
    await Promise.resolve()
    expect([running, gate.waitingFor(SERVICE)]).toEqual([20, 5])
    gate.open(SERVICE)
    await Promise.resolve()
    for (const end of ends) end()
    await Promise.all(all)
    expect(gate.size).toBe(0)
  })

  it('limits the requests of a service that come after it was idle', async () => {
    const gate = new ServiceGate(new VirtualClock())
    let running = 0
    const ends: Array<() => void> = []
    const work = async (): Promise<void> => {
      running++
      await new Promise<void>((resolve) => { ends.push(resolve) })
      running--
    }
    for (let round = 0; round < 3; round++) {
      const all = Array.from({ length: 12 }, () => gate.run(turnOf(SERVICE, 1), work))
      await Promise.resolve()
      expect([running, gate.waitingFor(SERVICE)]).toEqual([MIN_CONCURRENCY, 4])
      gate.open(SERVICE)
      await Promise.resolve()
      expect([running, gate.waiting]).toEqual([12, 0])
      for (const end of ends.splice(0)) end()
      await Promise.all(all)
    }
  })

  it('forgets requests that are withdrawn before their turn, and gives none of them a place', async () => {
    const gate = new ServiceGate(new VirtualClock())
    const ends: Array<() => void> = []
    const work = (): Promise<void> => new Promise((resolve) => { ends.push(resolve) })
    const running = Array.from({ length: MIN_CONCURRENCY }, () => gate.run(turnOf(SERVICE, 1), work))
    const controller = new AbortController()
    const queued = Array.from({ length: 3 }, () => gate.run(turnOf(SERVICE, 1, controller.signal), work))
    const withdrawn = Promise.allSettled(queued)
    controller.abort()
    expect((await withdrawn).map(({ status }) => status)).toEqual(['rejected', 'rejected', 'rejected'])
    expect(gate.waiting).toBe(0)
    for (const end of ends) end()
    await Promise.all(running)
    expect([ends.length, gate.size]).toEqual([MIN_CONCURRENCY, 0])
  })

  it('expects a wait by those ahead that are as urgent, and by the time that requests take', async () => {
    const clock = new VirtualClock()
    const gate = new ServiceGate(clock)
    const work = (): Promise<void> => gate.measure(SERVICE, () => clock.sleep(millis(400)))
    const first = Array.from({ length: MIN_CONCURRENCY }, () => gate.run(turnOf(SERVICE, 1), work))
    await clock.advance(millis(500))
    await Promise.all(first)
    expect(gate.expectedWait(turnOf(SERVICE, 1))).toBe(0)
    const all = Array.from({ length: MIN_CONCURRENCY + 3 }, () => gate.run(turnOf(SERVICE, 1), work))
    expect(gate.expectedWait(turnOf(SERVICE, 1))).toBe(200)
    expect(gate.expectedWait({ ...turnOf(SERVICE, 1), priority: 0 })).toBe(50)
    await clock.advance(millis(1000))
    await Promise.all(all)
  })
})

import { brand } from '@papayahill/common'
import type { ServiceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { ServiceGate } from './ServiceGate.js'

const SERVICE = brand<ServiceId>('orders')
const MIN_CONCURRENCY = 8

describe('ServiceGate', () => {
  it('does not keep services without requests', async () => {
    const gate = new ServiceGate()
    for (let at = 0; at < 50; at++) {
      const service = brand<ServiceId>(`orders-${at}`)
      gate.open(service)
      await gate.run(service, 1, 1, async () => {})
      await gate.run(service, 1, 1, async () => { throw new Error('failed') }).catch(() => {})
    }
    expect(gate.size).toBe(0)
  })

  it('limits the requests of a service with more slots than a queue begins with', async () => {
    const gate = new ServiceGate()
    let running = 0
    const ends: Array<() => void> = []
    const work = async (): Promise<void> => {
      running++
      await new Promise<void>((resolve) => { ends.push(resolve) })
    }
    const all = Array.from({ length: 25 }, () => gate.run(SERVICE, 10, 1, work))
    await Promise.resolve()
    expect([running, gate.waitingFor(SERVICE)]).toEqual([20, 5])
    gate.open(SERVICE)
    await Promise.resolve()
    for (const end of ends) end()
    await Promise.all(all)
    expect(gate.size).toBe(0)
  })

  it('limits the requests of a service that come after it was idle', async () => {
    const gate = new ServiceGate()
    let running = 0
    const ends: Array<() => void> = []
    const work = async (): Promise<void> => {
      running++
      await new Promise<void>((resolve) => { ends.push(resolve) })
      running--
    }
    for (let round = 0; round < 3; round++) {
      const all = Array.from({ length: 12 }, () => gate.run(SERVICE, 1, 1, work))
      await Promise.resolve()
      expect([running, gate.waitingFor(SERVICE)]).toEqual([MIN_CONCURRENCY, 4])
      gate.open(SERVICE)
      await Promise.resolve()
      expect([running, gate.waiting]).toEqual([12, 0])
      for (const end of ends.splice(0)) end()
      await Promise.all(all)
    }
  })
})

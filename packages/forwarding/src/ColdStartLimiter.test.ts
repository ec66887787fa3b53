import { brand, heldHeap, millis, VirtualClock } from '@papayahill/common'
import type { EndpointId, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { ColdStartLimiter } from './ColdStartLimiter.js'

const BYTES_PER_MEGABYTE = 1_048_576
const SERVICE = brand<ServiceId>('pool')
const PROFILE = { id: SERVICE, maxConnections: 1300, coldPerSecond: 12 }
const SHARE = 4

const usedMegabytes = (): number => heldHeap() / BYTES_PER_MEGABYTE

const coldEndpoint = (id: string): Endpoint => {
  const endpoint = new Endpoint({
    id: brand<EndpointId>(id),
    service: SERVICE,
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

const newLimiter = (): ColdStartLimiter => new ColdStartLimiter(new VirtualClock(), () => PROFILE, { shareOf: () => SHARE })

describe('ColdStartLimiter', () => {
  it('does not count the requests to an earlier incarnation', () => {
    const limiter = newLimiter()
    const endpoint = coldEndpoint('e1')
    for (let sent = 0; sent < SHARE; sent++) limiter.recordDispatch(endpoint)
    expect(limiter.canAccept(endpoint)).toBe(false)
    expect(limiter.canAccept(coldEndpoint('e1'))).toBe(true)
  })

  it('does not keep endpoints that were gone before they were warm', () => {
    const limiter = newLimiter()
    const before = usedMegabytes()
    for (let at = 0; at < 4000; at++) {
      const endpoint = coldEndpoint(`e${at}`)
      for (let sent = 0; sent < 50; sent++) limiter.recordDispatch(endpoint)
    }
    const taken = usedMegabytes() - before
    // The use after the measurement keeps the limiter from being collected before it.
    expect(limiter.canAccept(coldEndpoint('last'))).toBe(true)
    expect(taken).toBeLessThan(1)
  })
})

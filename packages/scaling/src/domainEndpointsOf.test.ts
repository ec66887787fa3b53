import { brand, epochMillis, millis, seconds } from '@papayahill/common'
import type { DomainId, EndpointId, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { domainEndpointsOf } from './domainEndpointsOf.js'
import type { DomainEndpointsInput } from './domainEndpointsOf.js'

const EAST = brand<DomainId>('east')

const endpointOf = (id: string, isDraining = false): Endpoint => new Endpoint({
  id: brand<EndpointId>(id),
  service: brand<ServiceId>('embed'),
  domain: EAST,
  address: { ip: '10.0.0.1', port: 80 },
  version: '1',
  slots: 8,
  isDraining,
  coldFor: millis(0),
  sequence: 1,
  startedAt: epochMillis(1)
})

const cold = endpointOf('cold')
cold.coldUntil = seconds(9)

const input: DomainEndpointsInput = {
  now: seconds(5),
  endpoints: [endpointOf('a'), cold, endpointOf('leaves', true)],
  isDomainOut: () => false,
  ordered: () => undefined,
  orderedDomains: [],
  isOlder: false
}

describe('domainEndpointsOf', () => {
  it('leaves out endpoints that drain, and begins with the listed number where nothing was ordered', () => {
    expect(domainEndpointsOf(input)).toEqual([{ domain: EAST, isOut: false, listed: 2, cold: 1, concurrency: 16, ordered: 2 }])
  })

  it('takes the concurrency that was learnt', () => {
    expect(domainEndpointsOf({ ...input, concurrencyOf: ({ id }) => id === 'a' ? 5 : 3 })[0]!.concurrency).toBe(8)
  })

  it('keeps a failure domain whose endpoints are all gone, for which some are ordered', () => {
    const ordered = { ...input, endpoints: [], ordered: () => 4, orderedDomains: [EAST] }
    expect(domainEndpointsOf(ordered)).toMatchObject([{ listed: 0, ordered: 4 }])
  })

  it('keeps a failure domain in which all endpoints drain', () => {
    expect(domainEndpointsOf({ ...input, endpoints: [endpointOf('leaves', true)] })).toMatchObject([{ listed: 0, ordered: 0 }])
  })

  it('takes the larger of the ordered and the listed number where the orders may be outdated', () => {
    expect(domainEndpointsOf({ ...input, ordered: () => 1, isOlder: true })[0]!.ordered).toBe(2)
    expect(domainEndpointsOf({ ...input, ordered: () => 3, isOlder: true })[0]!.ordered).toBe(3)
  })
})

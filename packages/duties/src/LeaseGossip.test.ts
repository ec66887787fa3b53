import { brand, millis } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { LeaseGossip } from './LeaseGossip.js'
import type { LeaseGossipOptions } from './LeaseGossip.js'

const SELF = brand<InstanceId>('a')
const OTHER = brand<InstanceId>('b')

const rankedBeside = (heartbeatPeriod: number): readonly InstanceId[] => {
  const member = {
    id: OTHER,
    incarnation: brand<Incarnation>('b@1'),
    domain: brand<DomainId>('hall'),
    silence: millis(1800),
    heartbeatPeriod: millis(heartbeatPeriod)
  }
  const options = { self: SELF, incarnation: brand<Incarnation>('a@1'), peers: { members: () => [member] }, view: {} }
  return new LeaseGossip(options as unknown as LeaseGossipOptions).ranked()
}

describe('LeaseGossip', () => {
  // Guards against candidates that change places for a few hundred ms of lateness where heartbeats come once a second.
  it('ranks instances by silence in their own heartbeats', () => {
    expect(rankedBeside(500)).toEqual([SELF])
    expect([...rankedBeside(1000)].sort()).toEqual([SELF, OTHER])
  })
})

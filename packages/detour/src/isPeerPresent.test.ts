import { brand, millis } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { isPeerPresent } from './isPeerPresent.js'

const ID = brand<InstanceId>('i2')
const INCARNATION = brand<Incarnation>('i2#1')

const isPresent = (silence: number, heartbeatPeriod?: number): boolean => {
  const period = heartbeatPeriod === undefined ? {} : { heartbeatPeriod: millis(heartbeatPeriod) }
  const member = { id: ID, incarnation: INCARNATION, domain: brand<DomainId>('d1'), silence: millis(silence), ...period }
  return isPeerPresent({ members: () => [member], isConnected: () => true }, ID, INCARNATION)
}

describe('isPeerPresent', () => {
  // Guards against requests that are given up at a slow peer where heartbeats come once a second.
  it('measures silence in the heartbeats of the peer', () => {
    expect([isPresent(1700), isPresent(1900), isPresent(1900, 1000), isPresent(3700, 1000)]).toEqual([true, false, true, false])
  })
})

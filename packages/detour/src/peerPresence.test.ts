import { brand, millis } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { isPeerPresent, peerPresence } from './peerPresence.js'

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

describe('peerPresence', () => {
  // Guards against a request that is broken off at a peer which is only paused.
  it('tells a peer that is silent over an open link from one that is gone', () => {
    const member = { id: ID, incarnation: INCARNATION, domain: brand<DomainId>('d1'), silence: millis(1900) }
    const presence = (isLinked: boolean, incarnation = INCARNATION): string =>
      peerPresence({ members: () => [member], isConnected: () => isLinked }, ID, incarnation)
    expect([presence(true), presence(false), presence(true, brand<Incarnation>('i2#2'))]).toEqual(['silent', 'gone', 'gone'])
  })
})

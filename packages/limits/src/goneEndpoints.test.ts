import { brand, SeededRandom, VirtualClock } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { KnownInstances } from './KnownInstances.js'
import { SharedRateLimiter } from './SharedRateLimiter.js'
import type { SharedRateLimiterOptions } from './SharedRateLimiter.js'
import { limitedEndpoint } from './testing/limitedEndpoint.js'

const SELF = brand<InstanceId>('i0')

const rig = () => {
  const clock = new VirtualClock()
  const listeners: Array<(endpoint: Endpoint, isRestart: boolean) => void> = []
  const peers = { self: SELF, members: () => [], handle: () => {}, send: () => {} }
  const limiter = new SharedRateLimiter({
    clock,
    random: new SeededRandom(3),
    directory: { get: () => undefined, onGone: (listener) => { listeners.push(listener) }, receiveAnnouncement: () => {} },
    peers: peers as unknown as SharedRateLimiterOptions['peers'],
    known: new KnownInstances({ clock, peers, listed: () => [SELF] })
  })
  const leave = (endpoint: Endpoint): void => {
    endpoint.isGone = true
    for (const listener of listeners) listener(endpoint, false)
  }
  return { limiter, leave }
}

describe('SharedRateLimiter, with endpoints that come and go', () => {
  it('does not keep the limits of endpoints that are asked for after they are gone', () => {
    const { limiter, leave } = rig()
    for (let at = 0; at < 50; at++) {
      const endpoint = limitedEndpoint(`e${at}`, 5)
      limiter.trySend(endpoint)
      leave(endpoint)
      limiter.trySend(endpoint)
    }
    expect(limiter.quotaCount).toBe(0)
  })

  it('keeps the limit of an endpoint that is gone for the calls that are still sent', () => {
    const { limiter, leave } = rig()
    const endpoint = limitedEndpoint('e1', 1)
    let before = 0
    while (limiter.trySend(endpoint)) before++
    leave(endpoint)
    expect(before).toBeLessThan(50)
    expect(limiter.trySend(endpoint)).toBe(false)
  })
})

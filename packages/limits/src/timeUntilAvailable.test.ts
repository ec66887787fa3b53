import { millis, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { EndpointDirectory } from '@papayahill/directory'
import type { Endpoint } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { timeUntilAvailable } from './timeUntilAvailable.js'
import { limitedEndpoint } from './testing/limitedEndpoint.js'

describe('timeUntilAvailable', () => {
  const clock = new VirtualClock()
  const directory = new EndpointDirectory({ clock, log: SILENT_LOG, isDomainOut: () => false })
  const [first, second] = [limitedEndpoint('a'), limitedEndpoint('b')]
  const tokenIn = new Map<Endpoint, Millis>()
  const limits = { availableIn: (endpoint: Endpoint) => tokenIn.get(endpoint) ?? millis(0) }
  const time = (): Millis => timeUntilAvailable(limits, [first, second], clock.now())

  it('is the time until the first backoff ends', () => {
    directory.noteBackoff(first, millis(300))
    expect(time()).toBe(0)
    directory.noteBackoff(second, millis(200))
    expect(time()).toBe(200)
  })

  it('is the time until an endpoint that does not back off has a token', () => {
    tokenIn.set(second, millis(450))
    expect(time()).toBe(300)
    tokenIn.set(first, millis(400))
    expect(time()).toBe(400)
  })

  it('is zero without endpoints', () => {
    expect(timeUntilAvailable(limits, [], clock.now())).toBe(0)
  })
})

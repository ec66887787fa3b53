import { brand, millis, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { BacklogTracker, chooseEndpoint, choosePreferredDomain } from './BacklogTracker.js'
import { stageEndpoint } from './testing/stageEndpoint.js'

const domainOf = (name: string): DomainId => brand<DomainId>(name)

const near = stageEndpoint('near', 'encode', 'hall-1')
const far = stageEndpoint('far', 'encode', 'hall-2')

describe('BacklogTracker', () => {
  it('does not keep reports of endpoints that are gone', async () => {
    const clock = new VirtualClock()
    const backlogs = new BacklogTracker(clock)
    for (let at = 0; at < 100; at++) {
      backlogs.record(brand<EndpointId>(`e${at}`), millis(50))
      await clock.advance(millis(200))
    }
    expect(backlogs.size).toBeLessThan(10)
    expect(backlogs.backlog(brand<EndpointId>('e99'))).toBe(0)
  })
})

describe('chooseEndpoint', () => {
  const query = { endpoints: [near, far], inputBytes: new Map(), outputBytes: 0, preferredDomain: undefined, request: 'r1' }

  it('chooses the shortest wait, reduced by the time since its report', async () => {
    const clock = new VirtualClock()
    const backlogs = new BacklogTracker(clock)
    backlogs.record(near.id, millis(300))
    expect(chooseEndpoint(backlogs, query)).toBe(far)
    backlogs.record(far.id, millis(200))
    await clock.advance(millis(50))
    expect(backlogs.backlog(near.id)).toBe(250)
    expect(chooseEndpoint(backlogs, query)).toBe(far)
  })

  it('accepts a longer wait if large inputs would cross domains', () => {
    const backlogs = new BacklogTracker(new VirtualClock())
    backlogs.record(near.id, millis(100))
    expect(chooseEndpoint(backlogs, { ...query, inputBytes: new Map([[domainOf('hall-1'), 4_000_000]]) })).toBe(near)
    expect(chooseEndpoint(backlogs, { ...query, inputBytes: new Map([[domainOf('hall-1'), 8000]]) })).toBe(far)
  })
})

describe('choosePreferredDomain', () => {
  it('is the engine\'s domain unless its stages are busy', () => {
    const backlogs = new BacklogTracker(new VirtualClock())
    expect(choosePreferredDomain(backlogs, [[near, far]], domainOf('hall-2'), 0)).toBe('hall-2')
    backlogs.record(far.id, millis(400))
    expect(choosePreferredDomain(backlogs, [[near, far]], domainOf('hall-2'), 0)).toBe('hall-1')
    expect(choosePreferredDomain(backlogs, [[near, far]], domainOf('hall-2'), 20_000_000)).toBe('hall-2')
  })
})

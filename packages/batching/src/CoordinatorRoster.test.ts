import { brand, millis, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, Incarnation, InstanceId } from '@papayahill/common'
import type { PeerMember } from '@papayahill/peers'
import { describe, expect, it } from 'vitest'
import { CoordinatorRoster } from './CoordinatorRoster.js'

const idOf = (name: string): InstanceId => brand<InstanceId>(name)

const memberOf = (name: string, incarnation = 1, silence = 0): PeerMember => ({
  id: idOf(name), incarnation: brand<Incarnation>(`${name}@${incarnation}`), domain: brand<DomainId>('hall'), silence: millis(silence)
})

const rosterOf = (self: string, members: readonly PeerMember[], clock = new VirtualClock()): CoordinatorRoster =>
  new CoordinatorRoster(clock, { self: idOf(self), members: () => [...members] })

const ENDPOINTS = Array.from({ length: 30 }, (_none, at) => brand<EndpointId>(`e${at}`))
const coordinatorsOf = (roster: CoordinatorRoster): readonly InstanceId[] => ENDPOINTS.map((endpoint) => roster.coordinatorOf(endpoint))

describe('CoordinatorRoster', () => {
  it('chooses the same coordinator on all instances that see each other', () => {
    const [a, b, c] = ['a', 'b', 'c'].map((name) => memberOf(name))
    const views = [rosterOf('a', [b!, c!]), rosterOf('b', [a!, c!]), rosterOf('c', [a!, b!])]
    expect(coordinatorsOf(views[1]!)).toEqual(coordinatorsOf(views[0]!))
    expect(coordinatorsOf(views[2]!)).toEqual(coordinatorsOf(views[0]!))
    expect(new Set(coordinatorsOf(views[0]!)).size).toBe(3)
  })

  it('reassigns only the groups of an instance that fell silent', () => {
    const before = coordinatorsOf(rosterOf('a', [memberOf('b'), memberOf('c')]))
    const after = coordinatorsOf(rosterOf('a', [memberOf('b'), memberOf('c', 1, 5000)]))
    before.forEach((id, at) => { if (id !== idOf('c')) expect(after[at]).toBe(id) })
    expect(after).not.toContain(idOf('c'))
  })

  it('excludes an instance that stops, but not its next incarnation', () => {
    const members = [memberOf('b')]
    const roster = rosterOf('a', members)
    roster.markLeaving(members[0]!.incarnation)
    expect(coordinatorsOf(roster)).not.toContain(idOf('b'))
    members[0] = memberOf('b', 2)
    expect(coordinatorsOf(roster)).toContain(idOf('b'))
  })

  it('excludes an instance that accepted no order only for the suspicion period', async () => {
    const clock = new VirtualClock()
    const roster = rosterOf('a', [memberOf('b')], clock)
    roster.suspect(idOf('b'))
    expect(coordinatorsOf(roster)).not.toContain(idOf('b'))
    await clock.advance(millis(2000))
    expect(coordinatorsOf(roster)).toContain(idOf('b'))
  })

  it('chooses only strong instances if there are enough of them, and any otherwise', () => {
    const strong = ['a', 'b', 'c', 'd'].map((name) => ({ ...memberOf(name), capacity: 1.35 }))
    const weak = ['e', 'f', 'g', 'h', 'i'].map((name) => ({ ...memberOf(name), capacity: 0.3 }))
    const self = brand<InstanceId>('z')
    const clock = new VirtualClock()
    const roster = (members: readonly PeerMember[]) => new CoordinatorRoster(clock, { self, members: () => [...members] }, 0.3)
    const names = strong.map(({ id }) => id)
    expect(coordinatorsOf(roster([...strong, ...weak])).every((id) => names.includes(id))).toBe(true)
    expect(coordinatorsOf(roster([...strong.slice(1), ...weak])).some((id) => !names.includes(id))).toBe(true)
  })
})

import { brand, millis, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, Incarnation, InstanceId, ServiceId } from '@papayahill/common'
import type { PeerMember } from '@papayahill/peers'
import { describe, expect, it } from 'vitest'
import { CoordinatorRoster } from './CoordinatorRoster.js'
import type { GroupId } from './types.js'

const idOf = (name: string): InstanceId => brand<InstanceId>(name)

const memberOf = (name: string, incarnation = 1, silence = 0): PeerMember => ({
  id: idOf(name), incarnation: brand<Incarnation>(`${name}@${incarnation}`), domain: brand<DomainId>('hall'), silence: millis(silence)
})

const rosterOf = (self: string, members: readonly PeerMember[], clock = new VirtualClock()): CoordinatorRoster =>
  new CoordinatorRoster({ clock, peers: { self: idOf(self), members: () => [...members] } })

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

  // Guards against a coordinator that is replaced for a few hundred ms of lateness where heartbeats come once a second.
  it('measures silence in the heartbeats of each instance', () => {
    const often = rosterOf('a', [memberOf('b', 1, 1800)])
    const seldom = rosterOf('a', [{ ...memberOf('b', 1, 1800), heartbeatPeriod: millis(1000) }])
    expect([often.isPresent(idOf('b')), seldom.isPresent(idOf('b'))]).toEqual([false, true])
    expect(coordinatorsOf(seldom)).toContain(idOf('b'))
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

  it('does not keep the exclusions of all incarnations that there ever were', async () => {
    const clock = new VirtualClock()
    const roster = rosterOf('a', [memberOf('b')], clock)
    for (let at = 0; at < 3000; at++) {
      const { id, incarnation } = memberOf(`b${at}`, at)
      roster.suspect(id)
      roster.markUnreached(incarnation, 'encode/0')
      roster.markLeaving(incarnation)
      await clock.advance(millis(100))
    }
    expect(roster.exclusionCount).toBeLessThan(2100)
  })

  it('chooses only strong instances if there are enough of them, and any otherwise', () => {
    const strong = ['a', 'b', 'c', 'd'].map((name) => ({ ...memberOf(name), capacity: 1.35 }))
    const weak = ['e', 'f', 'g', 'h', 'i'].map((name) => ({ ...memberOf(name), capacity: 0.3 }))
    const self = brand<InstanceId>('z')
    const clock = new VirtualClock()
    const roster = (members: readonly PeerMember[]) =>
      new CoordinatorRoster({ clock, peers: { self, members: () => [...members] }, capacity: 0.3 })
    const names = strong.map(({ id }) => id)
    expect(coordinatorsOf(roster([...strong, ...weak])).every((id) => names.includes(id))).toBe(true)
    expect(coordinatorsOf(roster([...strong.slice(1), ...weak])).some((id) => !names.includes(id))).toBe(true)
  })

  describe('groups that are shared out', () => {
    const GROUPS = Array.from({ length: 7 }, (_none, at) => brand<GroupId>(`encode/${at}`))
    const members = Array.from({ length: 9 }, (_none, at) => memberOf(`m${at}`))

    const startRoster = (): CoordinatorRoster =>
      new CoordinatorRoster({ clock: new VirtualClock(), peers: { self: idOf('a'), members: () => members }, groups: () => GROUPS })
    const chosenBy = (roster: CoordinatorRoster): readonly InstanceId[] => GROUPS.map((group) => roster.coordinatorOf(group))

    it('leave no instance with a second group while another one has none', () => {
      expect(new Set(chosenBy(startRoster())).size).toBe(GROUPS.length)
    })

    // Guards against instances that disagree about all groups because one of them suspects one coordinator.
    it.each(['suspects', 'knows to be leaving'] as const)('move only from the instance that another one %s, to one that has none', (cause) => {
      const before = chosenBy(startRoster())
      const excluded = members.find(({ id }) => id === before.find((each) => each !== idOf('a')))!
      const roster = startRoster()
      if (cause === 'suspects') roster.suspect(excluded.id)
      else roster.markLeaving(excluded.incarnation)
      const after = chosenBy(roster)
      before.forEach((id, at) => { if (id !== excluded.id) expect(after[at]).toBe(id) })
      expect(new Set(after).size).toBe(GROUPS.length)
      expect(after).not.toContain(excluded.id)
    })
  })

  describe('instances that do not reach the endpoints of a service', () => {
    const SERVICE = 'encode'
    const GROUPS = Array.from({ length: 30 }, (_none, at) => `${SERVICE}/${at}`)

    const rosterWith = (unreaching: ReadonlySet<string>, clock = new VirtualClock()): CoordinatorRoster => {
      const members = ['b', 'c'].map((name) => memberOf(name))
      const isReachedBy = (id: InstanceId, service: ServiceId): boolean => service !== SERVICE || !unreaching.has(id)
      const reach = {
        get version () { return unreaching.size },
        reaches: (service: ServiceId) => isReachedBy(idOf('a'), service),
        isReachedBy
      }
      return new CoordinatorRoster({ clock, peers: { self: idOf('a'), members: () => members }, reach })
    }
    const chosenBy = (roster: CoordinatorRoster, groups = GROUPS): ReadonlySet<string> =>
      new Set(groups.map((group) => roster.coordinatorOf(group)))

    it('coordinate none of its groups, the own instance included, and all of them after the heal', () => {
      const unreaching = new Set<string>()
      const roster = rosterWith(unreaching)
      const before = GROUPS.map((group) => roster.coordinatorOf(group))
      unreaching.add('a').add('b')
      expect(chosenBy(roster)).toEqual(new Set(['c']))
      expect(GROUPS.every((group) => roster.mustLeave(group))).toBe(true)
      unreaching.clear()
      expect(GROUPS.map((group) => roster.coordinatorOf(group))).toEqual(before)
      expect(GROUPS.some((group) => roster.mustLeave(group))).toBe(false)
    })

    it('go on to coordinate the groups of other services', () => {
      const roster = rosterWith(new Set(['a', 'b']))
      expect(chosenBy(roster, GROUPS.map((group) => `other ${group}`)).size).toBe(3)
    })

    it('coordinate where no instance reaches them', () => {
      const roster = rosterWith(new Set(['a', 'b', 'c']))
      expect(chosenBy(roster).size).toBe(3)
    })

    it('are excluded for a while once they have refused an order, before they have told', async () => {
      const clock = new VirtualClock()
      const roster = rosterWith(new Set(), clock)
      roster.markUnreached(memberOf('b').incarnation, GROUPS[0]!)
      expect(chosenBy(roster)).toEqual(new Set(['a', 'c']))
      await clock.advance(millis(2000))
      roster.markUnreached(memberOf('c').incarnation, 'other/0')
      expect(chosenBy(roster)).toEqual(new Set(['a', 'b', 'c']))
    })
  })
})

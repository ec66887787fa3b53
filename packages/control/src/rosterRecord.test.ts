import { brand, epochMillis } from '@papayahill/common'
import type { Incarnation, InstanceId } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { DEPARTED_RETENTION } from './constants.js'
import { decodeRoster, EMPTY_ROSTER, encodeRoster, hasMember, withMember, withoutMembers, withoutSuspicion, withSuspicion } from './rosterRecord.js'
import type { RosterRecord } from './rosterRecord.js'

const NOW = epochMillis(1_800_000_000_000)
const idOf = (index: number): InstanceId => brand<InstanceId>(`i${index}`)
const lifeOf = (index: number, life: number): Incarnation => brand<Incarnation>(`i${index}#${life}`)

type Act = (record: RosterRecord) => RosterRecord

const act = fc.record({ kind: fc.constantFrom('join', 'leave', 'suspect', 'clear'), index: fc.nat(3), life: fc.nat(3) })
  .map(({ kind, index, life }): Act => (record) => {
    const incarnation = lifeOf(index, life)
    if (kind === 'join') return withMember(record, idOf(index), incarnation, NOW)
    if (kind === 'leave') return withoutMembers(record, (member) => member.incarnation === incarnation, NOW)
    return kind === 'suspect' ? withSuspicion(record, incarnation) : withoutSuspicion(record, incarnation)
  })

const sameLives = (left: RosterRecord, right: RosterRecord): boolean =>
  JSON.stringify(left.members) === JSON.stringify(right.members)

describe('rosterRecord', () => {
  it('raises the version with each change of the members, and with nothing else', () => {
    fc.assert(fc.property(fc.array(act), (acts) => {
      acts.reduce((record, change) => {
        const next = change(record)
        if (sameLives(record, next)) expect(next.version).toBe(record.version)
        else expect(next.version).toBeGreaterThan(record.version)
        return next
      }, EMPTY_ROSTER)
    }))
  })

  it('names one life of an instance at most, and everyone who left since', () => {
    fc.assert(fc.property(fc.array(act), (acts) => {
      acts.reduce((record, change) => {
        const next = change(record)
        expect(new Set(next.members.map((member) => member.id)).size).toBe(next.members.length)
        for (const member of record.members) {
          const isThere = hasMember(next, member.incarnation) || next.departed.some((one) => one.incarnation === member.incarnation)
          expect(isThere).toBe(true)
        }
        return next
      }, EMPTY_ROSTER)
    }))
  })

  it('comes out of the store as it went in', () => {
    fc.assert(fc.property(fc.array(act), (acts) => {
      const record = acts.reduce((before, change) => change(before), EMPTY_ROSTER)
      expect(decodeRoster(encodeRoster(record))).toEqual(record)
    }))
    expect(decodeRoster(null)).toEqual(EMPTY_ROSTER)
    expect(decodeRoster({ version: 'x' })).toEqual(EMPTY_ROSTER)
  })

  it('does not let an earlier life back in after a later one', () => {
    const record = withMember(EMPTY_ROSTER, idOf(1), lifeOf(1, 2), NOW)
    expect(withMember(record, idOf(1), lifeOf(1, 1), NOW)).toBe(record)
  })

  it('forgets the departed after a while', () => {
    const joined = withMember(EMPTY_ROSTER, idOf(1), lifeOf(1, 1), NOW)
    const left = withoutMembers(joined, () => true, NOW)
    const later = epochMillis(NOW + DEPARTED_RETENTION + 1)
    const again = withMember(left, idOf(2), lifeOf(2, 1), later)
    const last = withoutMembers(again, () => true, later)
    expect(last.departed.map((member) => member.incarnation)).toEqual([lifeOf(2, 1)])
  })
})

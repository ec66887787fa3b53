import { brand, millis, seconds, VirtualClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import type { PeerMember } from '@papayahill/peers'
import { describe, expect, it } from 'vitest'
import { KnownInstances } from './KnownInstances.js'

const SELF = brand<InstanceId>('i0')

const member = (id: string): PeerMember =>
  ({ id: brand<InstanceId>(id), incarnation: brand<Incarnation>(`${id}#1`), domain: brand<DomainId>('hall-1'), silence: millis(0) })

const rig = (members: readonly string[], listed: readonly string[] = []) => {
  const clock = new VirtualClock()
  const seen = { members: members.map(member) }
  const known = new KnownInstances({
    clock, peers: { self: SELF, members: () => seen.members }, listed: () => listed.map((id) => brand<InstanceId>(id))
  })
  return { clock, seen, known }
}

describe('KnownInstances', () => {
  it('counts itself, the members and those that are listed', () => {
    const { known } = rig(['i1'], ['i1', 'i2'])
    expect(known.ids).toEqual(['i0', 'i1', 'i2'])
    expect(['i0', 'i1', 'i2'].map((id) => known.isReachable(brand<InstanceId>(id)))).toEqual([true, true, false])
  })

  it('goes on counting a member that fell silent, since it may be alive behind a cut', async () => {
    const { clock, seen, known } = rig(['i1', 'i2'])
    expect(known.ids).toHaveLength(3)
    seen.members = [member('i2')]
    await clock.advance(seconds(300))
    expect(known.ids).toHaveLength(3)
    expect(known.isReachable(brand<InstanceId>('i1'))).toBe(false)
    await clock.advance(seconds(400))
    expect(known.ids).toEqual(['i0', 'i2'])
  })

  it('stops counting a listed instance that never appears, and counts it again once it does', async () => {
    const { clock, seen, known } = rig([], ['gone'])
    expect(known.ids).toEqual(['i0', 'gone'])
    await clock.advance(seconds(61))
    expect(known.ids).toEqual(['i0'])
    seen.members = [member('gone')]
    await clock.advance(seconds(2))
    expect(known.ids).toEqual(['i0', 'gone'])
  })
})

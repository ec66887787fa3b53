import { brand, millis, seconds, VirtualClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import type { PeerMember } from '@papayahill/peers'
import { describe, expect, it } from 'vitest'
import { ReportReceivers } from './ReportReceivers.js'
import type { HolderView, Reporter } from './types.js'

const memberOf = (name: string, domain: string, capacity = 1, silence = 0): PeerMember => ({
  id: brand<InstanceId>(name),
  incarnation: brand<Incarnation>(`${name}@1`),
  domain: brand<DomainId>(domain),
  capacity,
  silence: millis(silence)
})

const holderOf = (holder?: Reporter): HolderView => ({ holder, onChange: () => {} })

const ALL = ['a', 'b', 'c', 'd', 'e', 'f'].map((name, at) => memberOf(name, `hall-${at % 3}`))

const receiversOf = (self: PeerMember, members: readonly PeerMember[], holder?: Reporter, clock = new VirtualClock()): ReportReceivers =>
  new ReportReceivers({
    clock,
    peers: { self: self.id, incarnation: self.incarnation, members: () => members.filter(({ id }) => id !== self.id) },
    domain: self.domain,
    capacity: self.capacity!,
    holder: holderOf(holder)
  })

const namesOf = (receivers: ReportReceivers): readonly string[] => receivers.current().map(({ id }) => id)

describe('ReportReceivers', () => {
  it('chooses the holder and one backup in another failure domain, the same on all instances', () => {
    for (const holder of ALL) {
      const views = ALL.map((self) => namesOf(receiversOf(self, ALL, holder)))
      expect(views.every((view) => view.join() === views[0]!.join())).toBe(true)
      const [first, backup] = views[0]!
      expect(first).toBe(holder.id)
      expect(ALL.find(({ id }) => id === backup)!.domain).not.toBe(holder.domain)
    }
  })

  it('chooses the first two in order while no holder is known, and if the known one has ended', () => {
    const unknown = namesOf(receiversOf(ALL[0]!, ALL))
    expect(unknown).toHaveLength(2)
    const ended = { id: ALL[3]!.id, incarnation: brand<Incarnation>('d@0') }
    expect(namesOf(receiversOf(ALL[0]!, ALL, ended))).toEqual(unknown)
  })

  it('prefers backups with enough capacity', () => {
    const mixed = ALL.map((member, at) => ({ ...member, capacity: at < 3 ? 1.35 : 0.243 }))
    for (const holder of mixed) {
      const [, backup] = namesOf(receiversOf(mixed[0]!, mixed, holder))
      expect(['a', 'b', 'c']).toContain(backup)
    }
  })

  it('replaces a receiver that did not answer, for a while only', async () => {
    const clock = new VirtualClock()
    const receivers = receiversOf(ALL[0]!, ALL, ALL[1], clock)
    const before = namesOf(receivers)
    receivers.suspect(ALL[1]!.incarnation)
    expect(namesOf(receivers)).not.toContain('b')
    expect(namesOf(receivers)).toHaveLength(2)
    await clock.advance(seconds(5))
    expect(namesOf(receivers)).toEqual(before)
  })

  it('takes a backup of the same domain if there is no other, and is its own receiver if it is alone', () => {
    const pair = [memberOf('a', 'hall'), memberOf('b', 'hall')]
    expect(namesOf(receiversOf(pair[0]!, pair, pair[1]))).toEqual(['b', 'a'])
    expect(namesOf(receiversOf(pair[0]!, []))).toEqual(['a'])
  })

  it('excludes an instance whose link is silent', () => {
    const silent = ALL.map((member) => member.id === 'b' ? { ...member, silence: millis(3000) } : member)
    expect(namesOf(receiversOf(ALL[0]!, silent, ALL[1]))).not.toContain('b')
  })
})

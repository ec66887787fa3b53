import { brand, epochMillis, EventRecorder, millis, VirtualClock } from '@papayahill/common'
import type { EndpointId, Incarnation, InstanceId, Json } from '@papayahill/common'
import type { GossipEntry } from '@papayahill/peers'
import { describe, expect, it } from 'vitest'
import { EndpointDirectory } from './EndpointDirectory.js'
import { EndpointNotices } from './EndpointNotices.js'
import { endpointRow, ROW_SERVICE } from './testing/endpointRow.js'

const STARTED_AT = 1000

/** Instances that receive each other's messages at once, with directories of their own. */
const rig = (instances: number) => {
  const clock = new VirtualClock()
  const listeners: Array<(entry: GossipEntry) => void> = []
  const publishedBy = Array.from({ length: instances }, () => 0)
  const publish = (owner: InstanceId, at: number, key: string, value: Json): void => {
    publishedBy[at]!++
    const incarnation = brand<Incarnation>(`${owner}#1`)
    for (const listener of listeners) listener({ topic: 'endpoint', key, owner, incarnation, sequence: 1, value })
  }
  const directories = Array.from({ length: instances }, (_none, at) => {
    const self = brand<InstanceId>(`i${at}`)
    const directory = new EndpointDirectory({ clock, log: new EventRecorder(clock), isDomainOut: () => false })
    const peers = {
      self,
      publish: (_topic: string, key: string, value: Json) => publish(self, at, key, value),
      onEntry: (_topic: string, listener: (entry: GossipEntry) => void) => { listeners.push(listener) }
    }
    new EndpointNotices({ clock, directory, peers }).listen()
    return directory
  })
  const show = (directory: EndpointDirectory, id: string, startedAt = STARTED_AT): void =>
    directory.changed([endpointRow(id, { startedAt: epochMillis(startedAt) })], millis(0))
  const usableAt = (at: number): readonly string[] => directories[at]!.usable(ROW_SERVICE).map(({ id }) => id)
  return { clock, directories, show, usableAt, publishedBy, publishToAll: (value: Json) => publish(brand<InstanceId>('other'), 0, '0', value) }
}

describe('EndpointNotices', () => {
  it('stop new work for an endpoint at all instances by one answer to one of them, and are published once', () => {
    const { directories, show, usableAt, publishedBy } = rig(3)
    for (const directory of directories) show(directory, 'a')
    for (const directory of directories) directory.noteLeaving(directory.get(brand<EndpointId>('a')) ?? expect.fail('not known'))
    expect([0, 1, 2].map(usableAt)).toEqual([[], [], []])
    expect(publishedBy).toEqual([1, 0, 0])
  })

  it('apply to a row that arrives later, and not to the next incarnation', () => {
    const { directories, show, usableAt } = rig(2)
    const [first, second] = directories
    show(first!, 'a')
    first!.noteLeaving(first!.get(brand<EndpointId>('a'))!)
    show(second!, 'a')
    expect(usableAt(1)).toEqual([])
    show(second!, 'a', STARTED_AT + 1)
    expect(usableAt(1)).toEqual(['a'])
  })

  it('of an earlier incarnation do not affect the current one', () => {
    const { directories, show, usableAt } = rig(2)
    const [first, second] = directories
    show(first!, 'a')
    show(second!, 'a', STARTED_AT + 1)
    first!.noteLeaving(first!.get(brand<EndpointId>('a'))!)
    expect(usableAt(1)).toEqual(['a'])
  })

  it('tell a limit to all instances at once, and one that changes with each answer at most twice a second, the latest last', async () => {
    const { clock, directories, show, publishedBy } = rig(2)
    for (const directory of directories) show(directory, 'a')
    const [first, second] = directories.map((directory) => directory.get(brand<EndpointId>('a')) ?? expect.fail('not known'))
    directories[0]!.noteLimit(first!, { perSecond: 5, sentAt: clock.now() })
    expect(second!.limit).toMatchObject({ perSecond: 5, source: 'instance' })
    for (let answer = 1; answer <= 100; answer++) {
      await clock.advance(millis(20))
      directories[0]!.noteLimit(first!, { perSecond: 5 + answer % 7, sentAt: clock.now() })
    }
    await clock.advance(millis(600))
    expect(publishedBy[0]).toBeLessThanOrEqual(6)
    expect(second!.limit?.perSecond).toBe(first!.limit?.perSecond)
  })

  describe('that an endpoint is brittle', () => {
    const A = brand<EndpointId>('a')

    it('reach all instances at once, once however many answers say so, beside its limit of requests', async () => {
      const { clock, directories, show, publishedBy } = rig(3)
      for (const directory of directories) show(directory, 'a')
      const endpoints = directories.map((directory) => directory.get(A) ?? expect.fail('not known'))
      directories[0]!.noteLimit(endpoints[0]!, { perSecond: 7, sentAt: clock.now() })
      for (let answer = 0; answer < 100; answer++) {
        directories[0]!.noteLimit(endpoints[0]!, { perSecond: 2, sentAt: clock.now() }, 'rejectionLimit')
        await clock.advance(millis(20))
      }
      expect(endpoints.map(({ rejectionLimit, limit }) => [rejectionLimit?.perSecond, limit?.perSecond])).toEqual([[2, 7], [2, 7], [2, 7]])
      expect(endpoints.map(({ isBrittle }) => isBrittle)).toEqual([true, true, true])
      expect(directories[2]!.stateCounts().get('brittle')).toBe(1)
      expect(publishedBy).toEqual([2, 0, 0])
    })

    it('end with an answer without it to a request that was sent after the last one that said so', async () => {
      const { clock, directories, show } = rig(2)
      for (const directory of directories) show(directory, 'a')
      const [first, second] = directories.map((directory) => directory.get(A)!)
      const sentEarly = clock.now()
      await clock.advance(millis(20))
      directories[0]!.noteLimit(first!, { perSecond: 2, sentAt: clock.now() }, 'rejectionLimit')
      directories[0]!.noteLimit(first!, { perSecond: undefined, sentAt: sentEarly }, 'rejectionLimit')
      expect([first!.isBrittle, second!.isBrittle]).toEqual([true, true])
      await clock.advance(millis(600))
      directories[0]!.noteLimit(first!, { perSecond: undefined, sentAt: clock.now() }, 'rejectionLimit')
      expect([first!.isBrittle, second!.isBrittle]).toEqual([false, false])
    })

    it('do not apply to its next incarnation', () => {
      const { clock, directories, show } = rig(2)
      for (const directory of directories) show(directory, 'a')
      directories[0]!.noteLimit(directories[0]!.get(A)!, { perSecond: 2, sentAt: clock.now() }, 'rejectionLimit')
      for (const directory of directories) show(directory, 'a', STARTED_AT + 1)
      expect(directories.map((directory) => directory.get(A)!.isBrittle)).toEqual([false, false])
    })
  })

  it.each<Json>([null, 'a', 7, [], { endpoint: 'a' }, { endpoint: 3, life: {} }])('ignore a malformed message (%j)', (value) => {
    const { directories, show, usableAt, publishToAll } = rig(1)
    show(directories[0]!, 'a')
    publishToAll(value)
    expect(usableAt(0)).toEqual(['a'])
  })
})

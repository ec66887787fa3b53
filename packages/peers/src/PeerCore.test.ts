import { brand, EventRecorder, millis, seconds, SeededRandom, VirtualClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { MemoryNetwork } from './MemoryNetwork.js'
import { PeerCore } from './PeerCore.js'
import type { ListedPeer, PeerIdentity, PeerList } from './transport.js'

const identity = (index: number, incarnationNumber = 1): PeerIdentity => ({
  id: brand<InstanceId>(`i${index}`),
  incarnation: brand<Incarnation>(`i${index}#${incarnationNumber}`),
  domain: brand<DomainId>('d1'),
  address: { ip: '127.0.0.1', port: 7000 + index }
})

/** An instance list whose content and availability the tests set. */
class TestList implements PeerList {
  shown: readonly ListedPeer[] = []
  isDown = false

  list (): ReturnType<PeerList['list']> {
    return Promise.resolve(this.isDown
      ? Result.err({ kind: 'unavailable' }) as never
      : Result.ok({ instances: this.shown }) as never)
  }
}

class PeerCluster {
  readonly clock = new VirtualClock()
  readonly network = new MemoryNetwork(this.clock)
  readonly list = new TestList()
  readonly cores: PeerCore[] = []
  readonly events: EventRecorder[] = []

  constructor (size: number) {
    this.list.shown = Array.from({ length: size }, (_, index) => identity(index))
    for (let index = 0; index < size; index++) this.add(index)
  }

  add (index: number, incarnationNumber = 1): PeerCore {
    const { id: self, incarnation, domain } = identity(index, incarnationNumber)
    const events = new EventRecorder(this.clock)
    const core = new PeerCore({
      self,
      incarnation,
      domain,
      clock: this.clock,
      random: new SeededRandom(index + 100 * incarnationNumber),
      transport: this.network.transport(identity(index, incarnationNumber)),
      list: this.list,
      log: events
    })
    this.cores[index] = core
    this.events[index] = events
    return core
  }

  async start (stabilizeFor = seconds(3)): Promise<void> {
    for (const core of this.cores) void core.start()
    await this.clock.advance(stabilizeFor)
  }

  memberIds (index: number): readonly string[] {
    return this.cores[index]!.members().map((member) => member.id).sort()
  }
}

const startCluster = async (size: number): Promise<PeerCluster> => {
  const cluster = new PeerCluster(size)
  await cluster.start()
  return cluster
}

describe('PeerCore', () => {
  describe('membership', () => {
    it('links every instance to every other in a small cluster', async () => {
      const cluster = await startCluster(4)
      expect(cluster.memberIds(0)).toEqual(['i1', 'i2', 'i3'])
      expect(cluster.memberIds(3)).toEqual(['i0', 'i1', 'i2'])
    })

    it('drops a dead peer and a silent peer within the heartbeat timeout', async () => {
      const cluster = await startCluster(3)
      cluster.network.kill(identity(2))
      cluster.network.partition(identity(0), identity(1))
      await cluster.clock.advance(seconds(3))
      expect(cluster.memberIds(0)).toEqual([])
      cluster.network.heal(identity(0), identity(1))
      await cluster.clock.advance(seconds(8))
      expect(cluster.memberIds(0)).toEqual(['i1'])
    })

    it('replaces the old incarnation of an instance by the new one', async () => {
      const cluster = await startCluster(3)
      cluster.network.kill(identity(2))
      void cluster.add(2, 2).start()
      await cluster.clock.advance(seconds(6))
      expect(cluster.cores[0]!.members().find((member) => member.id === 'i2')?.incarnation).toBe('i2#2')
    })

    // Guards against an instance that others do not see for an hour, since its clock was set back before its restart.
    it.each([3, 30])('replaces it also by one that compares less, in a cluster of %i', async (size) => {
      const cluster = await startCluster(size)
      await cluster.clock.advance(seconds(20))
      cluster.cores[2]!.publish('cost', 'own', 'of the first')
      cluster.cores[2]!.publish('quarantine', 'own', 'of the first')
      await cluster.clock.advance(seconds(2))
      cluster.network.kill(identity(2))
      const second = cluster.add(2, 0)
      void second.start()
      second.publish('cost', 'own', 'of the second')
      second.publish('quarantine', 'own', 'of the second')
      await cluster.clock.advance(seconds(30))
      for (const core of cluster.cores.filter((one) => one !== second)) {
        expect(core.members().find((member) => member.id === 'i2')?.incarnation).toBe('i2#0')
        expect(core.entries('cost').map(({ value }) => value)).toEqual(['of the second'])
        expect(core.entries('quarantine').map(({ value }) => value)).toEqual(['of the second'])
      }
    })

    it.each([[4, 500], [40, 1000]])('tells how often linked members send heartbeats, in a cluster of %i', async (size, period) => {
      const cluster = await startCluster(size)
      const linked = cluster.cores[0]!.members().filter(({ id }) => cluster.cores[0]!.isConnected(id))
      expect([...new Set(linked.map(({ heartbeatPeriod }) => heartbeatPeriod))]).toEqual([period])
    })

    it('keeps a bounded number of links in a large cluster, and knows all live members', async () => {
      const cluster = await startCluster(40)
      await cluster.clock.advance(seconds(20))
      const linked = cluster.cores.map((core) => core.members().filter((member) => core.isConnected(member.id)).length)
      expect(Math.max(...linked)).toBeLessThanOrEqual(9)
      expect(Math.min(...linked)).toBeGreaterThan(0)
      for (const core of cluster.cores) expect(core.members()).toHaveLength(39)
    })

    it('spreads the death of a member, and the refutation of a false report, in a large cluster', async () => {
      const cluster = await startCluster(30)
      await cluster.clock.advance(seconds(20))
      cluster.network.kill(identity(7))
      const alive = identity(3)
      const neighbours = cluster.cores.filter((core) => core.isConnected(alive.id)).map((core) => identity(Number(core.self.slice(1))))
      cluster.network.partition(alive, neighbours[0]!)
      await cluster.clock.advance(seconds(40))
      for (const [index, core] of cluster.cores.entries()) {
        if (index === 7) continue
        const ids = core.members().map((member) => member.id)
        expect(ids).not.toContain('i7')
        if (index !== 3) expect(ids).toContain('i3')
      }
    })
  })

  describe('the instance list', () => {
    it('removes no peer when it turns empty or fails', async () => {
      const cluster = await startCluster(3)
      cluster.list.shown = []
      await cluster.clock.advance(seconds(10))
      cluster.list.isDown = true
      await cluster.clock.advance(seconds(10))
      expect(cluster.memberIds(0)).toEqual(['i1', 'i2'])
      expect(cluster.events[0]!.records.map((record) => record.kind.name)).toContain('listEmpty')
    })

    it('does no harm when it names dead instances and wrong addresses', async () => {
      const cluster = new PeerCluster(3)
      const wrong = { id: brand<InstanceId>('ghost'), address: identity(1).address }
      const own = { id: brand<InstanceId>('mirror'), address: identity(0).address }
      const dead = { id: brand<InstanceId>('dead'), address: { ip: '127.0.0.1', port: 9 } }
      cluster.list.shown = [...cluster.list.shown, wrong, own, dead]
      await cluster.start(seconds(10))
      expect(cluster.memberIds(0)).toEqual(['i1', 'i2'])
    })

    it('does not reduce the links of live instances when it keeps naming many dead ones', async () => {
      const cluster = new PeerCluster(6)
      const ghosts = Array.from({ length: 20 }, (_, index): ListedPeer =>
        ({ id: brand<InstanceId>(`ghost${index}`), address: { ip: '127.0.0.1', port: 10 + index } }))
      cluster.list.shown = [...cluster.list.shown, ...ghosts]
      await cluster.start(seconds(120))
      for (const [index, core] of cluster.cores.entries()) {
        expect(cluster.memberIds(index)).toHaveLength(5)
        expect(core.members().every((member) => core.isConnected(member.id))).toBe(true)
      }
    })

    it('suffices to find all instances when it names one other', async () => {
      const cluster = new PeerCluster(5)
      cluster.list.shown = [identity(0)]
      await cluster.start(seconds(12))
      for (const index of [0, 1, 2, 3, 4]) expect(cluster.memberIds(index)).toHaveLength(4)
    })
  })

  describe('messages', () => {
    it('carry a request and its answer', async () => {
      const cluster = await startCluster(2)
      cluster.cores[1]!.handle('claim', (from, message, incarnation) => ({ from, message, incarnation }))
      const asked = cluster.cores[0]!.ask(identity(1).id, 'claim', { n: 1 }, millis(100))
      await cluster.clock.advance(millis(50))
      expect((await asked).unwrapOr(null)).toEqual({ from: 'i0', message: { n: 1 }, incarnation: 'i0#1' })
    })

    it('distinguish a peer that does not answer from one that cannot be reached', async () => {
      const cluster = await startCluster(3)
      cluster.network.partition(identity(0), identity(1))
      const silent = cluster.cores[0]!.ask(identity(1).id, 'claim', {}, millis(100))
      const gone = cluster.cores[0]!.ask(brand<InstanceId>('nobody'), 'claim', {}, millis(100))
      await cluster.clock.advance(millis(200))
      expect((await silent).isErr && (await silent)).toMatchObject({ error: { kind: 'timeout' } })
      expect((await gone).isErr && (await gone)).toMatchObject({ error: { kind: 'unreachable' } })
    })

    it('reach an instance without a link over a temporary one that is closed when idle', async () => {
      const cluster = await startCluster(30)
      await cluster.clock.advance(seconds(10))
      const [first] = cluster.cores
      const far = cluster.cores.find((core) => core !== first && !first!.isConnected(core.self))!
      far.handle('claim', () => 'here')
      const asked = first!.ask(far.self, 'claim', {}, millis(500))
      await cluster.clock.advance(millis(100))
      expect((await asked).unwrapOr(null)).toBe('here')
      await cluster.clock.advance(seconds(60))
      expect(cluster.cores.every((core) => core.members().filter((member) => core.isConnected(member.id)).length <= 9)).toBe(true)
    })
  })

  describe('messages whose link is replaced by a newer one', () => {
    // Guards against an instance that waits for an answer until its timeout, though none can come.
    it('end as unanswered at once', async () => {
      const cluster = await startCluster(2)
      cluster.cores[1]!.handle('stage', () => new Promise<never>(() => {}))
      const asked = cluster.cores[0]!.ask(identity(1).id, 'stage', {}, seconds(60))
      void cluster.add(1, 2).start()
      await cluster.clock.advance(seconds(5))
      const ended = await Promise.race([asked, Promise.resolve('waits')])
      expect(ended).toMatchObject({ error: { kind: 'unreachable' } })
    })
  })

  describe('messages to a peer without a link', () => {
    const startLarge = async () => {
      const cluster = await startCluster(40)
      await cluster.clock.advance(seconds(10))
      const busy = identity(7)
      cluster.cores[7]!.handle('stage', () => 'here')
      const far = cluster.cores.filter((core) => core.self !== busy.id && !core.isConnected(busy.id))
      return { cluster, busy, far }
    }

    // Guards against a peer that counts as unreachable while the link to it is being opened.
    it('wait for the dial that is in progress', async () => {
      const { cluster, busy, far: [first] } = await startLarge()
      const asked = [1, 2, 3].map(async () => await first!.ask(busy.id, 'stage', {}, seconds(1)))
      await cluster.clock.advance(seconds(1))
      expect((await Promise.all(asked)).map((answer) => answer.unwrapOr(null))).toEqual(['here', 'here', 'here'])
    })

    // Guards against a slow instance that closes links on which it is asked, since many were opened at once.
    it('are answered though many instances open links to it at once while it is slow', async () => {
      const { cluster, busy, far } = await startLarge()
      cluster.network.slowDown(busy, millis(400))
      const asked = far.map(async (core, at) => {
        await cluster.clock.sleep(millis(20 * at))
        return await core.ask(busy.id, 'stage', {}, seconds(3))
      })
      await cluster.clock.advance(seconds(5))
      expect((await Promise.all(asked)).filter((answer) => answer.isErr).length).toBe(0)
    })
  })

  describe('a frame that cannot be handled', () => {
    it('closes only the link it came over', async () => {
      const cluster = new PeerCluster(3)
      await cluster.start()
      const stranger = identity(50)
      const dialled = cluster.network.transport(stranger).dial(identity(0).address)
      await cluster.clock.advance(millis(50))
      const link = await dialled
      link!.send({ kind: 'differ', isReply: false, buckets: [{ bucket: 0, items: 5 as never }] })
      await cluster.clock.advance(seconds(1))
      expect(cluster.events[0]!.records.map(({ kind }) => kind.name)).toContain('frameFaulty')
      expect(cluster.cores[0]!.isConnected(stranger.id)).toBe(false)
      expect(cluster.cores[0]!.isConnected(identity(1).id)).toBe(true)
    })
  })

  describe('kept links', () => {
    it('from many instances to one stay open, and cause that one to open or close none', async () => {
      const cluster = new PeerCluster(60)
      await cluster.start(seconds(10))
      const busy = identity(7).id
      for (const core of cluster.cores) if (core.self !== busy) core.keepLinks(new Set([busy]))
      await cluster.clock.advance(seconds(5))
      const before = cluster.events.map(({ records }) => records.length)
      await cluster.clock.advance(seconds(60))
      expect(cluster.cores.filter((core) => core.isConnected(busy)).length).toBe(59)
      const closed = cluster.events.flatMap(({ records }, at) => records.slice(before[at])).filter(({ kind }) => kind.name === 'linkClosed')
      expect(closed.length).toBe(0)
      expect(cluster.cores[7]!.neighbours().length).toBeLessThanOrEqual(8)
    })

    it('are opened before anything is sent, and survive idle periods and a restart of the peer', async () => {
      const cluster = new PeerCluster(40)
      await cluster.start()
      const [core] = cluster.cores
      const peer = identity(39).id
      core!.keepLinks(new Set([peer]))
      await cluster.clock.advance(seconds(1))
      expect(core!.isConnected(peer)).toBe(true)
      await cluster.clock.advance(seconds(60))
      expect(core!.isConnected(peer)).toBe(true)
      cluster.network.kill(identity(39))
      void cluster.add(39, 2).start()
      await cluster.clock.advance(seconds(8))
      expect(core!.isConnected(peer)).toBe(true)
    })

    // Guards against links that one part of an instance needs being closed when another part names its own.
    it('are kept for each topic, until that topic names others', async () => {
      const cluster = new PeerCluster(40)
      await cluster.start()
      const [core] = cluster.cores
      const others = core!.members().map(({ id }) => id).filter((id) => !core!.isConnected(id))
      core!.keepLinks(new Set([others[0]!]), 'stage')
      core!.keepLinks(new Set([others[1]!]), 'detour')
      await cluster.clock.advance(seconds(60))
      expect(others.slice(0, 2).map((id) => core!.isConnected(id))).toEqual([true, true])
      core!.keepLinks(new Set(), 'detour')
      await cluster.clock.advance(seconds(60))
      expect(others.slice(0, 2).map((id) => core!.isConnected(id))).toEqual([true, false])
    })
  })

  describe('published entries', () => {
    it('reach all instances, and the newest value wins', async () => {
      const cluster = await startCluster(4)
      cluster.cores[0]!.publish('load', 'own', 1)
      cluster.cores[0]!.publish('load', 'own', 2)
      await cluster.clock.advance(seconds(1))
      for (const core of cluster.cores) expect(core.entries('load').map((entry) => entry.value)).toEqual([2])
    })

    it('are forwarded around a partitioned link', async () => {
      const cluster = await startCluster(3)
      cluster.network.partition(identity(0), identity(2))
      cluster.cores[0]!.publish('latch', 'd1', 'out')
      await cluster.clock.advance(millis(50))
      expect(cluster.cores[2]!.entries('latch')).toHaveLength(1)
    })

    it('reach an instance that starts later, even after their owner died', async () => {
      const cluster = new PeerCluster(4)
      const late = cluster.cores.pop()!
      await cluster.start()
      cluster.cores[0]!.publish('cost', 'rows', [1, 2])
      await cluster.clock.advance(seconds(1))
      cluster.network.kill(identity(0))
      await cluster.clock.advance(seconds(5))
      void late.start()
      await cluster.clock.advance(seconds(5))
      expect(late.entries('cost').map((entry) => entry.value)).toEqual([[1, 2]])
    })

    it('of a dead owner are kept for the retention time and then deleted', async () => {
      const cluster = await startCluster(3)
      cluster.cores[0]!.publish('cost', 'rows', 1)
      await cluster.clock.advance(seconds(1))
      cluster.network.kill(identity(0))
      for (const core of cluster.cores.slice(1)) expect(core.entries('cost')).toHaveLength(1)
      await cluster.clock.advance(seconds(3500))
      expect(cluster.cores[1]!.entries('cost')).toHaveLength(1)
      await cluster.clock.advance(seconds(300))
      expect(cluster.cores[1]!.entries('cost')).toHaveLength(0)
    })
  })

  describe('traffic', () => {
    it('is metered by topic on both sides', async () => {
      const cluster = await startCluster(2)
      cluster.cores[1]!.handle('claim', () => null)
      void cluster.cores[0]!.ask(identity(1).id, 'claim', 'x'.repeat(1000), millis(100))
      await cluster.clock.advance(millis(50))
      const sent = cluster.cores[0]!.traffic().find((one) => one.topic === 'claim')!
      const received = cluster.cores[1]!.traffic().find((one) => one.topic === 'claim')!
      expect(sent.sentMessages).toBe(1)
      expect(sent.sentBytes).toBeGreaterThan(1000)
      expect(received.receivedBytes).toBe(sent.sentBytes)
    })

    it('stays within the byte budget of an instance however often it publishes', async () => {
      const cluster = await startCluster(5)
      const bytesOf = (): number => cluster.cores[0]!.traffic().reduce((sum, topic) => sum + topic.sentBytes, 0)
      await cluster.clock.advance(seconds(20))
      const before = bytesOf()
      const timer = cluster.clock.every(millis(20), () => cluster.cores[0]!.publish('load', 'own', 'x'.repeat(100)))
      await cluster.clock.advance(seconds(60))
      timer.cancel()
      expect((bytesOf() - before) / 60).toBeLessThan(3072)
    })
  })
})

import { brand, EventRecorder, millis, seconds, SeededRandom, VirtualClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import { MemoryNetwork, PeerCore } from '@papayahill/peers'
import type { PeerIdentity, PeerList } from '@papayahill/peers'
import { Result } from 'true-myth'
import { beforeEach, describe, expect, it } from 'vitest'
import { DutyLease } from './DutyLease.js'
import { FaultyDutyTable } from './testing/FaultyDutyTable.js'

const SIZE = 9

interface Instance {
  readonly identity: PeerIdentity
  readonly lease: DutyLease
  readonly peers: PeerCore
}

describe('the lease over links between instances', () => {
  let clock: VirtualClock
  let network: MemoryNetwork
  let store: FaultyDutyTable
  let instances: Instance[]

  const start = (at: number): Instance => {
    const id = brand<InstanceId>(`ph-${at}`)
    const incarnation = brand<Incarnation>(`${id}@${String(clock.now()).padStart(12, '0')}`)
    const domain = brand<DomainId>(`d${at % 3}`)
    const identity = { id, incarnation, domain, address: { ip: '10.0.0.1', port: 20_000 + at } }
    const listed = instances.map(({ identity: { id: other, address } }) => ({ id: other, address }))
    const list: PeerList = { list: () => Promise.resolve(Result.ok({ instances: listed })) }
    const random = new SeededRandom(at + 1)
    const peers = new PeerCore({ self: id, incarnation, domain, clock, random, transport: network.transport(identity), list })
    const elapsed = { boot: () => clock.now(), wall: () => clock.wall() }
    const log = new EventRecorder(clock)
    const lease = new DutyLease({ self: id, incarnation, clock, elapsed, random, table: store.viewFor(id), peers, log })
    instances.push({ identity, lease, peers })
    void peers.start()
    lease.start()
    return instances.at(-1)!
  }

  const holders = (): readonly Instance[] => instances.filter(({ lease }) => lease.isHeld)

  beforeEach(async () => {
    clock = new VirtualClock()
    network = new MemoryNetwork(clock)
    store = new FaultyDutyTable({ clock })
    instances = []
    for (let at = 0; at < SIZE; at++) start(at)
    await clock.advance(seconds(15))
  })

  it('is known to all, and renewed with one store call in half a lease time', async () => {
    const { calls } = store
    await clock.advance(seconds(15))
    expect(holders()).toHaveLength(1)
    for (const { lease } of instances) expect(lease.holder?.id).toBe(holders()[0]!.identity.id)
    expect(store.calls - calls).toBeLessThanOrEqual(11)
  })

  it('passes to one of the others after a kill, and at once after a planned stop', async () => {
    const [killed] = holders()
    network.kill(killed!.identity)
    store.refuse(killed!.identity.id)
    const isTaken = (): boolean => instances.some((instance) => instance !== killed && instance.lease.isHeld)
    expect(await clock.advanceUntil(isTaken, seconds(4))).toBe(true)
    await clock.advance(seconds(5))
    const [stopped] = holders()
    void stopped!.lease.stop()
    expect(await clock.advanceUntil(() => holders().some((holder) => holder !== stopped), millis(300))).toBe(true)
    await clock.advance(seconds(2))
    expect(holders()).toHaveLength(1)
  })

  it('is heard of by an instance that starts later', async () => {
    const late = start(SIZE)
    await clock.advance(seconds(2))
    expect(late.lease.holder?.id).toBe(holders()[0]!.identity.id)
  })
})

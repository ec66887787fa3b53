import { brand, seconds, VirtualClock } from '@papayahill/common'
import type { Incarnation, InstanceId } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { OUTBID_PERIOD } from './constants.js'
import { decodeFrame, encodeFrame } from './frameCodec.js'
import { GossipStore } from './GossipStore.js'
import type { GossipEntry } from './types.js'

const storeOf = (id: string, clock = new VirtualClock()): GossipStore =>
  new GossipStore({ self: brand<InstanceId>(id), incarnation: brand<Incarnation>(`${id}#1`), clock })

const entryArbitrary = fc.record({
  topic: fc.constantFrom('load' as const, 'cost' as const),
  key: fc.constantFrom('a', 'b'),
  owner: fc.constantFrom('x', 'y').map((id) => brand<InstanceId>(id)),
  incarnation: fc.constantFrom('#1', '#2').map((id) => brand<Incarnation>(id)),
  sequence: fc.integer({ min: 1, max: 5 }),
  epoch: fc.constantFrom(undefined, 1, 2)
}).map(({ epoch, ...entry }): GossipEntry => ({
  ...entry, value: `${epoch}/${entry.incarnation}/${entry.sequence}`, ...(epoch === undefined ? {} : { epoch })
}))

const contentOf = (store: GossipStore): readonly string[] =>
  store.all().map((entry) => `${entry.topic} ${entry.owner} ${entry.key} ${JSON.stringify(entry.value)}`).sort()

describe('GossipStore', () => {
  it('does not keep the owners of entries that have expired', async () => {
    const clock = new VirtualClock()
    const store = storeOf('l', clock)
    for (let at = 0; at < 100; at++) {
      const owner = brand<InstanceId>(`x${at}`)
      store.accept({ topic: 'cost', key: 'a', owner, incarnation: brand<Incarnation>('#1'), sequence: 1, value: at })
      await clock.advance(seconds(600))
      store.expire(() => false)
    }
    expect(store.size).toBeLessThan(10)
    expect(store.ownerCount).toBe(store.size)
  })

  it('converges to the same entries and hashes in any order of arrival', () => {
    fc.assert(fc.property(fc.array(entryArbitrary), fc.array(fc.nat()), (entries, order) => {
      const [left, right] = [storeOf('l'), storeOf('r')]
      for (const entry of entries) left.accept(entry)
      const shuffled = entries.map((entry, index) => ({ entry, rank: order[index] ?? 0 })).sort((one, two) => one.rank - two.rank)
      for (const { entry } of shuffled) right.accept(entry)
      expect(contentOf(right)).toEqual(contentOf(left))
      expect(right.hashes()).toEqual(left.hashes())
    }))
  })

  it('finds the entries missing from another store by comparing digests', () => {
    const [left, right] = [storeOf('l'), storeOf('r')]
    const shared = left.publish('cost', 'own', 1)
    right.accept(shared)
    const missing = left.publish('cost', 'other', 2)
    const differing = left.hashes().map((hash, bucket) => ({ hash, bucket })).filter(({ hash, bucket }) => hash !== right.hashes()[bucket])
    expect(differing).toHaveLength(1)
    expect(left.missingIn(right.bucket(differing[0]!.bucket))).toContainEqual(missing)
  })

  describe('an entry of its own id from an incarnation that compares greater', () => {
    const foreign = (sequence: number): GossipEntry =>
      ({ topic: 'cost', key: 'own', owner: brand<InstanceId>('l'), incarnation: brand<Incarnation>('l#2'), sequence, value: 'foreign' })

    it('is outbid by all own entries, which others then prefer', () => {
      const [store, other] = [storeOf('l'), storeOf('r')]
      other.accept(foreign(7))
      store.publish('cost', 'own', 1)
      expect(store.accept(foreign(7))).toBe(false)
      const renewed = store.outbid(foreign(7))
      expect(renewed.map((entry) => other.accept(entry))).toEqual([true])
      expect(contentOf(other)).toEqual(contentOf(store))
    })

    // Guards against two processes that run under one id and answer each other's entries at the speed of the network.
    it('is outbid once a period at most', async () => {
      const clock = new VirtualClock()
      const store = storeOf('l', clock)
      store.publish('cost', 'own', 1)
      const renewals = [7, 8, 9].map((sequence) => store.outbid({ ...foreign(sequence), epoch: sequence }).length)
      expect(renewals).toEqual([1, 0, 0])
      await clock.advance(OUTBID_PERIOD)
      expect(store.outbid({ ...foreign(10), epoch: 10 }).length).toBe(1)
    })
  })

  it('rejects entries of its own incarnation from others', () => {
    const store = storeOf('l')
    const own = store.publish('load', 'own', 1)
    expect(store.accept({ ...own, sequence: 9, value: 'forged' })).toBe(false)
  })

  it('deletes entries of owners silent for the retention time, but not of live owners', async () => {
    const clock = new VirtualClock()
    const store = storeOf('l', clock)
    for (const owner of ['dead', 'alive']) {
      store.accept({ topic: 'load', key: 'own', owner: brand<InstanceId>(owner), incarnation: brand<Incarnation>('1'), sequence: 1, value: 1 })
    }
    for (let hour = 0; hour < 2; hour++) {
      store.expire((owner) => owner === 'alive')
      await clock.advance(seconds(3600))
    }
    store.expire((owner) => owner === 'alive')
    expect(store.all().map((entry) => entry.owner)).toEqual(['alive'])
  })
})

describe('frames', () => {
  it('decode to what was encoded', () => {
    fc.assert(fc.property(fc.array(entryArbitrary), (entries) => {
      expect(decodeFrame(encodeFrame({ kind: 'entries', entries }))).toEqual({ kind: 'entries', entries })
    }))
    expect(decodeFrame(encodeFrame({ kind: 'message', topic: 'claim', body: { a: [1, null] }, ask: 7 })))
      .toEqual({ kind: 'message', topic: 'claim', body: { a: [1, null] }, ask: 7 })
  })

  it('do not throw when decoded from invalid bytes', () => {
    fc.assert(fc.property(fc.uint8Array(), (data) => {
      expect(() => decodeFrame(data)).not.toThrow()
    }))
  })
})

import { brand, SeededRandom, VirtualClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { COMPARE_BUCKETS, MAX_COMPARED_BUCKETS } from './constants.js'
import type { Frame } from './frames.js'
import { GossipSpreader } from './GossipSpreader.js'
import type { GossipLink } from './GossipSpreader.js'
import { GossipStore } from './GossipStore.js'

const ENTRIES = 640
/** As many empty buckets as fit into a frame of the largest size. */
const TOLD_BUCKETS = 50_000

const spreaderOf = (): { readonly spreader: GossipSpreader, readonly link: GossipLink, readonly sent: Frame[] } => {
  const clock = new VirtualClock()
  const store = new GossipStore({ self: brand<InstanceId>('i1'), incarnation: brand<Incarnation>('i1#1'), clock })
  for (let at = 0; at < ENTRIES; at++) store.publish('cost', `k${at}`, at)
  const sent: Frame[] = []
  const peer = {
    id: brand<InstanceId>('i2'), incarnation: brand<Incarnation>('i2#1'), domain: brand<DomainId>('d'), address: { ip: '127.0.0.1', port: 1 }
  }
  const link: GossipLink = { peer, send: (frame) => sent.push(frame) }
  const spreader = new GossipSpreader({
    store, clock, random: new SeededRandom(1), links: () => [link], isMesh: () => true, onEntry: () => {}
  })
  return { spreader, link, sent }
}

const entriesIn = (sent: readonly Frame[]): number =>
  sent.reduce((sum, frame) => sum + (frame.kind === 'entries' ? frame.entries.length : 0), 0)

describe('GossipSpreader', () => {
  it('answers a comparison with the entries that the other store lacks', () => {
    const { spreader, link, sent } = spreaderOf()
    for (let bucket = 0; bucket < COMPARE_BUCKETS; bucket++) spreader.receive({ kind: 'differ', buckets: [{ bucket, items: [] }], isReply: true }, link)
    expect(entriesIn(sent)).toBe(ENTRIES)
  })

  // Guards against one frame that names a bucket very often, and makes an answer of many times its size.
  it('answers no more buckets than one comparison has', () => {
    const { spreader, link, sent } = spreaderOf()
    const buckets = Array.from({ length: TOLD_BUCKETS }, () => ({ bucket: 1, items: [] }))
    spreader.receive({ kind: 'differ', buckets, isReply: false }, link)
    expect(entriesIn(sent)).toBeLessThanOrEqual(ENTRIES)
    expect(Math.max(...sent.map((frame) => frame.kind === 'differ' ? frame.buckets.length : 0))).toBe(MAX_COMPARED_BUCKETS)
  })
})

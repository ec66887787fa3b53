import { brand } from '@papayahill/common'
import type { Incarnation, InstanceId, Json } from '@papayahill/common'
import { Packr } from 'msgpackr'
import type { BucketDigest, Frame, FrameKind } from './frames.js'
import type { GossipEntry, Topic } from './types.js'

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true })

/** Order on the wire; new topics go to the end. */
const TOPICS: readonly Topic[] = [
  'heartbeat', 'gossip', 'roster', 'config', 'latch', 'load', 'claim', 'evidence', 'cost', 'order', 'stage', 'version',
  'table', 'endpoint'
]
const KINDS: readonly FrameKind[] = ['heartbeat', 'message', 'answer', 'entries', 'compare', 'differ', 'bye', 'use']

type PackedEntry = readonly [topic: number, key: string, owner: string, incarnation: string, sequence: number, value: Json]
type Packed = readonly unknown[]

const packTopic = (topic: Topic): number => TOPICS.indexOf(topic)

/** A life is written without its owner's name where it starts with that, as it usually does. */
const packLife = (owner: string, incarnation: string): string =>
  incarnation.startsWith(owner) ? `=${incarnation.slice(owner.length)}` : `!${incarnation}`

const unpackLife = (owner: string, packed: string): Incarnation =>
  brand<Incarnation>(packed.startsWith('=') ? owner + packed.slice(1) : packed.slice(1))

const packEntry = (entry: GossipEntry): PackedEntry =>
  [packTopic(entry.topic), entry.key, entry.owner, packLife(entry.owner, entry.incarnation), entry.sequence, entry.value]

const unpackEntry = ([topic, key, owner, life, sequence, value]: PackedEntry): GossipEntry => ({
  topic: TOPICS[topic]!, key, owner: brand<InstanceId>(owner), incarnation: unpackLife(owner, life), sequence, value
})

/** How each kind of frame is written behind its number. */
const PACK: { readonly [Kind in FrameKind]: (frame: Extract<Frame, { readonly kind: Kind }>) => Packed } = {
  heartbeat: () => [],
  bye: () => [],
  use: (frame) => [frame.isGossip],
  message: (frame) => frame.ask === undefined ? [packTopic(frame.topic), frame.body] : [packTopic(frame.topic), frame.body, frame.ask],
  answer: (frame) => [packTopic(frame.topic), frame.ask, frame.body],
  entries: (frame) => frame.entries.map(packEntry),
  compare: (frame) => frame.hashes,
  differ: (frame) => [frame.isReply, frame.buckets.map(({ bucket, items }) => [bucket, items])]
}

const UNPACK: { readonly [Kind in FrameKind]: (fields: Packed) => Frame } = {
  heartbeat: () => ({ kind: 'heartbeat' }),
  bye: () => ({ kind: 'bye' }),
  use: ([isGossip]) => ({ kind: 'use', isGossip: isGossip === true }),
  message: ([topic, body, ask]) =>
    ({ kind: 'message', topic: TOPICS[topic as number]!, body: body as Json, ask: ask as number | undefined }),
  answer: ([topic, ask, body]) => ({ kind: 'answer', topic: TOPICS[topic as number]!, ask: ask as number, body: body as Json }),
  entries: (fields) => ({ kind: 'entries', entries: (fields as readonly PackedEntry[]).map(unpackEntry) }),
  compare: (fields) => ({ kind: 'compare', hashes: fields as readonly number[] }),
  differ: ([isReply, buckets]) => ({
    kind: 'differ',
    isReply: isReply === true,
    buckets: (buckets as ReadonlyArray<readonly [number, BucketDigest['items']]>).map(([bucket, items]) => ({ bucket, items }))
  })
}

/**
 * Writes a frame as bytes.
 *
 * @example
 * encodeFrame({ kind: 'heartbeat' }).length // 2
 */
export const encodeFrame = (frame: Frame): Buffer => {
  const pack = PACK[frame.kind] as (frame: Frame) => Packed
  return packr.pack([KINDS.indexOf(frame.kind), ...pack(frame)])
}

/** Reads a frame; undefined where the bytes are none. The sender has proved that it knows the secret. */
export const decodeFrame = (data: Uint8Array): Frame | undefined => {
  try {
    const [kind, ...fields] = packr.unpack(data) as [number, ...unknown[]]
    const name = KINDS[kind]
    return name === undefined ? undefined : UNPACK[name](fields)
  } catch {
    return undefined
  }
}

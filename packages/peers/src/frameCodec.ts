import { brand } from '@papayahill/common'
import type { Incarnation, InstanceId, Json } from '@papayahill/common'
import { Packr } from 'msgpackr'
import type { BucketDigest, Frame, FrameKind } from './frames.js'
import type { GossipEntry, Topic } from './types.js'

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true })

/** Each topic's number on the wire. */
const TOPIC_NUMBERS: Readonly<Record<Topic, number>> = {
  heartbeat: 0,
  gossip: 1,
  roster: 2,
  config: 3,
  latch: 4,
  load: 5,
  claim: 6,
  evidence: 7,
  cost: 8,
  order: 9,
  stage: 10,
  version: 11,
  table: 12,
  endpoint: 13,
  quota: 14,
  quarantine: 15,
  reach: 16,
  detour: 17,
  duty: 18,
  report: 19,
  performance: 20
}
const TOPICS: ReadonlyMap<unknown, Topic> = new Map(Object.entries(TOPIC_NUMBERS).map(([topic, number]) => [number, topic as Topic]))
const KINDS: readonly FrameKind[] = ['heartbeat', 'message', 'answer', 'entries', 'compare', 'differ', 'bye', 'use']

type PackedEntry = readonly [topic: number, key: string, owner: string, incarnation: string, sequence: number, value: Json, epoch?: number]
type Packed = readonly unknown[]

const packTopic = (topic: Topic): number => TOPIC_NUMBERS[topic]

/** An incarnation usually starts with its owner's id, which is then left out. */
const packIncarnation = (owner: string, incarnation: string): string =>
  incarnation.startsWith(owner) ? `=${incarnation.slice(owner.length)}` : `!${incarnation}`

const unpackIncarnation = (owner: string, packed: string): Incarnation =>
  brand<Incarnation>(packed.startsWith('=') ? owner + packed.slice(1) : packed.slice(1))

const packEntry = (entry: GossipEntry): PackedEntry => {
  const { topic, key, owner, incarnation, sequence, value, epoch } = entry
  const packed = [packTopic(topic), key, owner, packIncarnation(owner, incarnation), sequence, value] as const
  return epoch === undefined ? packed : [...packed, epoch]
}

const unpackEntry = ([topic, key, owner, packedIncarnation, sequence, value, epoch]: PackedEntry): GossipEntry => ({
  topic: TOPICS.get(topic)!,
  key,
  owner: brand<InstanceId>(owner),
  incarnation: unpackIncarnation(owner, packedIncarnation),
  sequence,
  value,
  ...(epoch === undefined ? {} : { epoch })
})

/** Fields of each kind of frame, in wire order after the kind's number. */
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
    ({ kind: 'message', topic: TOPICS.get(topic)!, body: body as Json, ask: ask as number | undefined }),
  answer: ([topic, ask, body]) => ({ kind: 'answer', topic: TOPICS.get(topic)!, ask: ask as number, body: body as Json }),
  entries: (fields) => ({ kind: 'entries', entries: (fields as readonly PackedEntry[]).map(unpackEntry) }),
  compare: (fields) => ({ kind: 'compare', hashes: fields as readonly number[] }),
  differ: ([isReply, buckets]) => ({
    kind: 'differ',
    isReply: isReply === true,
    buckets: (buckets as ReadonlyArray<readonly [number, BucketDigest['items']]>).map(([bucket, items]) => ({ bucket, items }))
  })
}

/**
 * Encodes a frame.
 *
 * @example
 * encodeFrame({ kind: 'heartbeat' }).length // 2
 */
export const encodeFrame = (frame: Frame): Buffer => {
  const pack = PACK[frame.kind] as (frame: Frame) => Packed
  return packr.pack([KINDS.indexOf(frame.kind), ...pack(frame)])
}

/** Decodes a frame; undefined if the bytes are not a frame. The fields are not validated, since the sender is authenticated. */
export const decodeFrame = (data: Uint8Array): Frame | undefined => {
  try {
    const [kind, ...fields] = packr.unpack(data) as [number, ...unknown[]]
    const name = KINDS[kind]
    return name === undefined ? undefined : UNPACK[name](fields)
  } catch {
    return undefined
  }
}

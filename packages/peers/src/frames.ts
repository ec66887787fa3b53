import type { GossipEntry, Topic } from './types.js'
import type { Json } from '@papayahill/common'

/** Hash of an entry's name, and hash of its incarnation and sequence. */
export type EntryDigest = readonly [name: number, state: number]

/** Digests of the entries in one bucket. */
export interface BucketDigest {
  readonly bucket: number
  readonly items: readonly EntryDigest[]
}

/** Unit of transmission on a link between two instances. */
export type Frame =
  | { readonly kind: 'heartbeat' }
  | { readonly kind: 'message', readonly topic: Topic, readonly body: Json, /** Number of the request if an answer is expected. */ readonly ask?: number }
  | { readonly kind: 'answer', readonly topic: Topic, readonly ask: number, readonly body: Json }
  | { readonly kind: 'entries', readonly entries: readonly GossipEntry[] }
  /** Hashes of all buckets; asks the peer which of them differ. */
  | { readonly kind: 'compare', readonly hashes: readonly number[] }
  /** Digests of differing buckets; `isReply` ends the exchange. */
  | { readonly kind: 'differ', readonly buckets: readonly BucketDigest[], readonly isReply: boolean }
  /** The link is about to be closed on purpose; the sender has not failed. */
  | { readonly kind: 'bye' }
  /** What the sender uses the link for: gossip, or messages only. */
  | { readonly kind: 'use', readonly isGossip: boolean }

export type FrameKind = Frame['kind']

/** Topic under which the bytes of a frame are metered. */
export const topicOf = (frame: Frame): Topic => {
  if (frame.kind === 'message' || frame.kind === 'answer') return frame.topic
  return frame.kind === 'heartbeat' || frame.kind === 'bye' || frame.kind === 'use' ? 'heartbeat' : 'gossip'
}

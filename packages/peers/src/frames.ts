import type { GossipEntry, Topic } from './types.js'
import type { Json } from '@papayahill/common'

/** Hashes of an entry's name and of its life and sequence. */
export type EntryDigest = readonly [name: number, state: number]

/** The entries of one bucket, as hashes. */
export interface BucketDigest {
  readonly bucket: number
  readonly items: readonly EntryDigest[]
}

/** What travels on a link between two instances. */
export type Frame =
  | { readonly kind: 'heartbeat' }
  | { readonly kind: 'message', readonly topic: Topic, readonly body: Json, /** Set where an answer is wanted. */ readonly ask?: number }
  | { readonly kind: 'answer', readonly topic: Topic, readonly ask: number, readonly body: Json }
  | { readonly kind: 'entries', readonly entries: readonly GossipEntry[] }
  /** Hashes over all buckets, as a question what differs. */
  | { readonly kind: 'compare', readonly hashes: readonly number[] }
  /** Buckets that differ here; `isReply` ends the exchange. */
  | { readonly kind: 'differ', readonly buckets: readonly BucketDigest[], readonly isReply: boolean }
  /** The link will close because this side has enough; it is no sign of trouble. */
  | { readonly kind: 'bye' }
  /** What the sender uses the link for: gossip, or messages alone. */
  | { readonly kind: 'use', readonly isGossip: boolean }

export type FrameKind = Frame['kind']

/** Topic under which the bytes of a frame are metered. */
export const topicOf = (frame: Frame): Topic => {
  if (frame.kind === 'message' || frame.kind === 'answer') return frame.topic
  return frame.kind === 'heartbeat' || frame.kind === 'bye' || frame.kind === 'use' ? 'heartbeat' : 'gossip'
}

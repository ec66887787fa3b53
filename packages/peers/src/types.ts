import type { Bytes, DomainId, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import type { Result } from 'true-myth'

/** What a message is about; one closed list, so that bytes are metered per topic. */
export type Topic =
  | 'heartbeat' | 'gossip' | 'roster' | 'config' | 'latch' | 'load' | 'claim' | 'evidence' | 'cost' | 'order' | 'stage' | 'version'
  | 'table' | 'endpoint'

/** A peer, as heartbeats show it. */
export interface PeerMember {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  readonly domain: DomainId
  /** Processor share that it may use, in cores; 1 where it does not say. */
  readonly capacity?: number
  /** Time since its last heartbeat. */
  readonly silence: Millis
}

export type PeerError =
  | { readonly kind: 'unreachable', readonly detail: string }
  | { readonly kind: 'timeout', readonly detail: string }

export type PeerHandler = (from: InstanceId, message: Json) => Promise<Json> | Json

/** One value that an instance publishes; the newest sequence of an owner's life wins. */
export interface GossipEntry {
  readonly topic: Topic
  readonly key: string
  readonly owner: InstanceId
  readonly incarnation: Incarnation
  readonly sequence: number
  readonly value: Json
}

/** What links carried on one topic since the start. */
export interface TopicTraffic {
  readonly topic: Topic
  readonly sentBytes: Bytes
  readonly sentMessages: number
  readonly receivedBytes: Bytes
  readonly receivedMessages: number
}

/**
 * Messages between instances. Delivery is best effort; `ask` tells whether an answer came.
 * Published entries reach every instance in a few gossip periods, directly or through others,
 * and outlive their owner for {@link GOSSIP_RETENTION}.
 */
export interface Peers {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  /** Peers heard of within the heartbeat timeout. */
  members (): readonly PeerMember[]
  isConnected (id: InstanceId): boolean
  /** Peers over whose links gossip spreads: all others while there are few, some of them above that. */
  neighbours (): readonly InstanceId[]
  /** Keeps links to these peers open, so that nothing waits for one to open; in place of those named before. */
  keepLinks (to: ReadonlySet<InstanceId>): void
  send (to: InstanceId, topic: Topic, message: Json): void
  broadcast (topic: Topic, message: Json): void
  ask (to: InstanceId, topic: Topic, message: Json, timeout: Millis): Promise<Result<Json, PeerError>>
  /** Sets the handler of `send`, `broadcast` and `ask` messages on a topic. */
  handle (topic: Topic, handler: PeerHandler): void
  /** Publishes under a key owned by this instance; spreads at once and by gossip after. */
  publish (topic: Topic, key: string, value: Json): void
  /** Newest entries of all owners on a topic, this instance's among them. */
  entries (topic: Topic): readonly GossipEntry[]
  /** Calls back for each entry that is new here, from whichever peer it came. */
  onEntry (topic: Topic, listener: (entry: GossipEntry) => void): void
  close (): Promise<void>
}

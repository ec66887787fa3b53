import type { Bytes, DomainId, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import type { Result } from 'true-myth'

/** Subject of a message; a closed list, so that traffic can be metered per topic. */
export type Topic =
  | 'heartbeat' | 'gossip' | 'roster' | 'config' | 'latch' | 'load' | 'claim' | 'evidence' | 'cost' | 'order' | 'stage' | 'version'
  | 'table' | 'endpoint' | 'quota' | 'quarantine' | 'reach' | 'detour' | 'duty' | 'report' | 'performance'

/** A peer that is considered alive. */
export interface PeerMember {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  readonly domain: DomainId
  /** CPU share available to it, in cores; 1 if it does not publish one. */
  readonly capacity?: number
  /** Time since the last frame from it; 0 for a peer known by gossip only. */
  readonly silence: Millis
  /** Longest time between two frames from it while it is alive and on time; 500 ms if absent. */
  readonly heartbeatPeriod?: Millis
}

/** Why a link was closed: `surplus` to `stop` by this instance on purpose, `peer` by the peer on purpose. */
export type LinkCloseReason = 'surplus' | 'idle' | 'replaced' | 'stop' | 'peer' | 'silent' | 'faulty' | 'lost'

export type PeerError =
  | { readonly kind: 'unreachable', readonly detail: string }
  | { readonly kind: 'timeout', readonly detail: string }

/**
 * Receives a message with its sender. The incarnation is that of the process at the other end of the link: a message of a
 * process that has ended may still arrive when the next one under its id is already known.
 */
export type PeerHandler = (from: InstanceId, message: Json, incarnation: Incarnation) => Promise<Json> | Json

/** A value that an instance publishes under a key; the highest epoch, then the newest incarnation, then the highest sequence wins. */
export interface GossipEntry {
  readonly topic: Topic
  readonly key: string
  readonly owner: InstanceId
  /** Raised by an owner whose incarnation compares less than that of its predecessor, as after its clock was set back; 0 if absent. */
  readonly epoch?: number
  readonly incarnation: Incarnation
  readonly sequence: number
  readonly value: Json
}

/** Traffic on one topic since the start. */
export interface TopicTraffic {
  readonly topic: Topic
  readonly sentBytes: Bytes
  readonly sentMessages: number
  readonly receivedBytes: Bytes
  readonly receivedMessages: number
}

/**
 * Messages between instances. Delivery is best effort; `ask` reports whether an answer arrived.
 * Published entries reach every instance within a few gossip periods, directly or through other instances,
 * and are kept for {@link GOSSIP_RETENTION} after their owner was last alive.
 */
export interface Peers {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  /** Peers that are considered alive. */
  members (): readonly PeerMember[]
  isConnected (id: InstanceId): boolean
  /** Peers that gossip is exchanged with directly: all others in a small cluster, a subset in a larger one. */
  neighbours (): readonly InstanceId[]
  /** Keeps links to these peers open, so that messages need not wait for a dial; replaces the previous set for the topic. */
  keepLinks (to: ReadonlySet<InstanceId>, topic?: Topic): void
  send (to: InstanceId, topic: Topic, message: Json): void
  broadcast (topic: Topic, message: Json): void
  ask (to: InstanceId, topic: Topic, message: Json, timeout: Millis): Promise<Result<Json, PeerError>>
  /** Sets the handler of `send`, `broadcast` and `ask` messages on a topic. */
  handle (topic: Topic, handler: PeerHandler): void
  /** Publishes a value under a key owned by this instance; it spreads by gossip. */
  publish (topic: Topic, key: string, value: Json): void
  /** The newest entries of all owners on a topic, including this instance's own. */
  entries (topic: Topic): readonly GossipEntry[]
  /** Calls the listener for each entry that is new to this instance, including its own. */
  onEntry (topic: Topic, listener: (entry: GossipEntry) => void): void
  close (): Promise<void>
}

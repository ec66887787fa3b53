import type { Incarnation, InstanceGate, InstanceId, Json, Millis } from '@papayahill/common'
import type { GossipEntry, PeerError, PeerHandler, PeerMember, Peers, Topic } from '@papayahill/peers'
import type { Result } from 'true-myth'

/** Overhead of a message in bytes: topic, message number and frame. */
const FRAME_BYTES = 16

/** Peer links of one instance; answers and deliveries are delayed while it is paused. */
export class GatedPeers implements Peers {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly #peers: Peers
  readonly #gate: InstanceGate
  #bytes = 0

  constructor (peers: Peers, gate: InstanceGate) {
    this.#peers = peers
    this.#gate = gate
    this.self = peers.self
    this.incarnation = peers.incarnation
  }

  /** Bytes of the messages and answers sent by this instance, encoded as JSON. */
  get bytes (): number {
    return this.#bytes
  }

  members (): readonly PeerMember[] {
    return this.#peers.members()
  }

  isConnected (id: InstanceId): boolean {
    return this.#peers.isConnected(id)
  }

  neighbours (): readonly InstanceId[] {
    return this.#peers.neighbours()
  }

  keepLinks (to: ReadonlySet<InstanceId>, topic?: Topic): void {
    this.#peers.keepLinks(to, topic)
  }

  send (to: InstanceId, topic: Topic, message: Json): void {
    this.#count(message)
    this.#peers.send(to, topic, message)
  }

  broadcast (topic: Topic, message: Json): void {
    this.#count(message, this.#peers.members().length)
    this.#peers.broadcast(topic, message)
  }

  ask (to: InstanceId, topic: Topic, message: Json, timeout: Millis): Promise<Result<Json, PeerError>> {
    this.#count(message)
    return this.#gate.pass(this.#peers.ask(to, topic, message, timeout))
  }

  handle (topic: Topic, handler: PeerHandler): void {
    this.#peers.handle(topic, async (from, message, incarnation) => {
      const answer = await handler(from, message, incarnation)
      this.#count(answer)
      return answer
    })
  }

  publish (topic: Topic, key: string, value: Json): void {
    this.#count({ topic, key, value }, this.#peers.members().length)
    this.#peers.publish(topic, key, value)
  }

  entries (topic: Topic): readonly GossipEntry[] {
    return this.#peers.entries(topic)
  }

  onEntry (topic: Topic, listener: (entry: GossipEntry) => void): void {
    this.#peers.onEntry(topic, (entry) => this.#gate.run(() => listener(entry)))
  }

  close (): Promise<void> {
    return this.#peers.close()
  }

  #count (message: Json | undefined, receivers = 1): void {
    this.#bytes += receivers * (JSON.stringify(message ?? null).length + FRAME_BYTES)
  }
}

import type { Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import type { GossipEntry, PeerError, PeerHandler, PeerMember, Peers, Topic } from '@papayahill/peers'
import type { LifeGate } from '@papayahill/standins'
import type { Result } from 'true-myth'

/** One instance's links, with answers and deliveries held back while it is paused. */
export class GatedPeers implements Peers {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly #peers: Peers
  readonly #gate: LifeGate

  constructor (peers: Peers, gate: LifeGate) {
    this.#peers = peers
    this.#gate = gate
    this.self = peers.self
    this.incarnation = peers.incarnation
  }

  members (): readonly PeerMember[] {
    return this.#peers.members()
  }

  isConnected (id: InstanceId): boolean {
    return this.#peers.isConnected(id)
  }

  send (to: InstanceId, topic: Topic, message: Json): void {
    this.#peers.send(to, topic, message)
  }

  broadcast (topic: Topic, message: Json): void {
    this.#peers.broadcast(topic, message)
  }

  ask (to: InstanceId, topic: Topic, message: Json, timeout: Millis): Promise<Result<Json, PeerError>> {
    return this.#gate.pass(this.#peers.ask(to, topic, message, timeout))
  }

  handle (topic: Topic, handler: PeerHandler): void {
    this.#peers.handle(topic, handler)
  }

  publish (topic: Topic, key: string, value: Json): void {
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
}

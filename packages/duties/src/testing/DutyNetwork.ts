import { millis } from '@papayahill/common'
import type { Clock, DomainId, Incarnation, InstanceId, Json, Millis, Random } from '@papayahill/common'
import type { GossipEntry, PeerHandler, PeerMember, Peers } from '@papayahill/peers'
import type { SimulatedMachine } from './SimulatedMachine.js'

/** Time after which a silent instance is no longer a member. */
const MEMBER_TIMEOUT = millis(2000)

export interface NetworkMember {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  readonly domain: DomainId
  readonly capacity: number
  readonly machine: SimulatedMachine
}

/** The part of {@link Peers} that duties use. */
export type DutyPeers = Pick<Peers, 'members' | 'neighbours' | 'publish' | 'entries' | 'onEntry' | 'send' | 'handle'>

interface Node extends NetworkMember {
  readonly gate: SimulatedMachine['gate']
  readonly listeners: Array<(entry: GossipEntry) => void>
  readonly entries: Map<InstanceId, GossipEntry>
  handler: PeerHandler | undefined
  silentSince: Millis | undefined
}

/** Entries and messages between instances in virtual time, with random delays; instances can be cut off from all others. */
export class DutyNetwork {
  /** Longest time until an entry has reached an instance; that of a message is a tenth. */
  spreadTime: Millis
  readonly #clock: Clock
  readonly #random: Random
  readonly #nodes = new Map<InstanceId, Node>()
  readonly #cut = new Set<InstanceId>()
  #sequence = 0
  #members: readonly PeerMember[] = []
  #membersAt = millis(-Infinity)

  constructor (clock: Clock, random: Random, spreadTime: Millis) {
    this.#clock = clock
    this.#random = random
    this.spreadTime = spreadTime
  }

  /** Drops all that an instance sends, and all that is sent to it. */
  cut (id: InstanceId): void {
    this.#cut.add(id)
  }

  /** Links an instance again; it and the others compare what they know. */
  heal (id: InstanceId): void {
    const node = this.#nodes.get(id)
    if (!this.#cut.delete(id) || node === undefined) return
    for (const other of this.#linked(id)) {
      for (const entry of other.entries.values()) this.#deliver(other, node, this.spreadTime, () => this.#accept(node, entry))
      for (const entry of node.entries.values()) this.#deliver(node, other, this.spreadTime, () => this.#accept(other, entry))
    }
  }

  /** Records that an instance answers again, or no longer. */
  setSilent (id: InstanceId, isSilent: boolean): void {
    const node = this.#nodes.get(id)
    if (node !== undefined) node.silentSince = isSilent ? node.silentSince ?? this.#clock.now() : undefined
    this.#membersAt = millis(-Infinity)
  }

  join (member: NetworkMember): DutyPeers {
    const { gate } = member.machine
    const node: Node = { ...member, gate, listeners: [], entries: new Map(), handler: undefined, silentSince: undefined }
    this.#nodes.set(member.id, node)
    if (!this.#cut.has(member.id)) {
      for (const other of this.#linked(member.id)) for (const entry of other.entries.values()) this.#accept(node, entry)
    }
    this.#membersAt = millis(-Infinity)
    return {
      members: () => this.#cut.has(member.id) ? [] : this.#memberList(),
      neighbours: () => this.#cut.has(member.id) ? [] : this.#memberList().map(({ id }) => id),
      publish: (topic, key, value) => this.#publish(node, { topic, key, value }),
      entries: () => [...node.entries.values()],
      onEntry: (_topic, listener) => { node.listeners.push(listener) },
      send: (to, _topic, message) => this.#send(node, to, message),
      handle: (_topic, handler) => { node.handler = handler }
    }
  }

  #linked (id: InstanceId): readonly Node[] {
    return [...this.#nodes.values()].filter((node) => node.id !== id && !this.#cut.has(node.id))
  }

  /** Includes the asking instance, which leaves itself out. */
  #memberList (): readonly PeerMember[] {
    const now = this.#clock.now()
    if (now - this.#membersAt < 100) return this.#members
    this.#membersAt = now
    this.#members = [...this.#nodes.values()]
      .map(({ id, incarnation, domain, capacity, silentSince }) =>
        ({ id, incarnation, domain, capacity, silence: millis(silentSince === undefined ? 0 : now - silentSince) }))
      .filter(({ id, silence }) => silence < MEMBER_TIMEOUT && !this.#cut.has(id))
    return this.#members
  }

  #publish (from: Node, { topic, key, value }: Pick<GossipEntry, 'topic' | 'key' | 'value'>): void {
    const entry: GossipEntry = { topic, key, owner: from.id, incarnation: from.incarnation, sequence: ++this.#sequence, value }
    from.entries.set(from.id, entry)
    for (const to of this.#nodes.values()) {
      if (to !== from) this.#deliver(from, to, this.spreadTime, () => this.#accept(to, entry))
    }
  }

  #accept (to: Node, entry: GossipEntry): void {
    const known = to.entries.get(entry.owner)
    if (known !== undefined && known.sequence >= entry.sequence) return
    to.entries.set(entry.owner, entry)
    for (const listener of to.listeners) listener(entry)
  }

  #send (from: Node, id: InstanceId, message: Json): void {
    const to = this.#nodes.get(id)
    if (to === undefined) return
    this.#deliver(from, to, millis(this.spreadTime / 10), () => { void to.handler?.(from.id, message, from.incarnation) })
  }

  #deliver (from: Node, to: Node, spread: Millis, run: () => void): void {
    if (this.#cut.has(from.id)) return
    this.#clock.after(millis(1 + this.#random.next() * spread), () => {
      if (!this.#cut.has(to.id) && this.#nodes.get(to.id) === to) to.gate.run(run)
    })
  }
}

import { brand, millis } from '@papayahill/common'
import type { Clock, DomainId, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import type { GossipEntry, PeerError, PeerHandler, PeerMember, Peers, Topic } from '@papayahill/peers'
import { Result } from 'true-myth'

const HEARTBEAT_TIMEOUT = millis(2000)

/**
 * Links between instances in one process, with delay, partitions and pauses. It fulfills the contract of
 * {@link Peers} for tests of its users; the real links have their own tests.
 *
 * @example
 * const network = new FakePeerNetwork(clock)
 * const first = network.join(brand<InstanceId>('i1'), brand<DomainId>('d1'))
 * network.partition(first.self, second.self)
 */
export class FakePeerNetwork {
  /** One-way delay of a message. */
  delay = millis(2)
  readonly clock: Clock
  readonly #nodes = new Map<InstanceId, FakePeers>()
  readonly #partitions = new Set<string>()
  readonly #paused = new Map<InstanceId, Array<() => void>>()
  readonly #downSince = new Map<InstanceId, Millis>()
  #incarnations = 0

  constructor (clock: Clock) {
    this.clock = clock
  }

  /** Starts a new incarnation of an instance; it replaces an earlier one with the same id. */
  join (id: InstanceId, domain: DomainId): FakePeers {
    this.#incarnations++
    const incarnation = brand<Incarnation>(`${id}#${String(this.#incarnations).padStart(6, '0')}`)
    const node = new FakePeers(this, id, incarnation, domain)
    for (const other of this.#nodes.values()) if (other.self !== id) node.syncFrom(other)
    this.#nodes.set(id, node)
    this.#downSince.delete(id)
    this.#paused.delete(id)
    return node
  }

  /** Kills an instance; the others keep the entries that it published. */
  kill (id: InstanceId): void {
    this.#nodes.get(id)?.stop()
    this.#nodes.delete(id)
    this.#downSince.set(id, this.clock.now())
  }

  partition (left: InstanceId, right: InstanceId): void {
    this.#partitions.add(`${left} ${right}`).add(`${right} ${left}`)
  }

  heal (left: InstanceId, right: InstanceId): void {
    this.#partitions.delete(`${left} ${right}`)
    this.#partitions.delete(`${right} ${left}`)
    const from = this.#nodes.get(left)
    const to = this.#nodes.get(right)
    if (from === undefined || to === undefined) return
    this.#deliver(to, () => to.syncFrom(from))
    this.#deliver(from, () => from.syncFrom(to))
  }

  /** Pauses an instance; messages to it are queued until it is resumed. */
  pause (id: InstanceId): void {
    this.#paused.set(id, [])
    this.#downSince.set(id, this.clock.now())
  }

  resume (id: InstanceId): void {
    const waiting = this.#paused.get(id) ?? []
    this.#paused.delete(id)
    this.#downSince.delete(id)
    for (const deliver of waiting) deliver()
  }

  node (id: InstanceId): FakePeers | undefined {
    return this.#nodes.get(id)
  }

  othersOf (id: InstanceId): readonly FakePeers[] {
    return [...this.#nodes.values()].filter((node) => node.self !== id)
  }

  isLinked (from: InstanceId, to: InstanceId): boolean {
    return this.#nodes.has(to) && !this.#partitions.has(`${from} ${to}`)
  }

  silenceOf (id: InstanceId): Millis {
    const since = this.#downSince.get(id)
    return since === undefined ? millis(0) : millis(this.clock.now() - since)
  }

  /** Runs `deliver` at the receiver after the delay, unless the link is partitioned or the receiver is gone. */
  transmit (from: FakePeers, to: InstanceId, deliver: (receiver: FakePeers) => void): void {
    if (!this.isLinked(from.self, to)) return
    const receiver = this.#nodes.get(to)
    if (receiver === undefined) return
    this.clock.after(this.delay, () => {
      if (this.isLinked(from.self, to)) this.#deliver(receiver, () => deliver(receiver))
    })
  }

  #deliver (receiver: FakePeers, deliver: () => void): void {
    if (this.#nodes.get(receiver.self) !== receiver) return
    const waiting = this.#paused.get(receiver.self)
    if (waiting === undefined) deliver()
    else waiting.push(deliver)
  }
}

const isNewer = (entry: GossipEntry, than: GossipEntry | undefined): boolean => {
  if (than === undefined || entry.incarnation > than.incarnation) return true
  return entry.incarnation === than.incarnation && entry.sequence > than.sequence
}

const entryKey = (entry: GossipEntry): string => `${entry.topic} ${entry.owner} ${entry.key}`

/** One instance's end of a {@link FakePeerNetwork}. */
export class FakePeers implements Peers {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly domain: DomainId
  readonly #network: FakePeerNetwork
  readonly #handlers = new Map<Topic, PeerHandler>()
  readonly #listeners = new Map<Topic, Array<(entry: GossipEntry) => void>>()
  readonly #entries = new Map<string, GossipEntry>()
  #sequence = 0
  #isStopped = false

  constructor (network: FakePeerNetwork, id: InstanceId, incarnation: Incarnation, domain: DomainId) {
    this.#network = network
    this.self = id
    this.incarnation = incarnation
    this.domain = domain
  }

  members (): readonly PeerMember[] {
    return this.#network.othersOf(this.self)
      .filter((node) => this.#network.isLinked(this.self, node.self))
      .map((node) => ({
        id: node.self, incarnation: node.incarnation, domain: node.domain, silence: this.#network.silenceOf(node.self)
      }))
      .filter((member) => member.silence < HEARTBEAT_TIMEOUT)
  }

  isConnected (id: InstanceId): boolean {
    return this.#network.isLinked(this.self, id)
  }

  neighbours (): readonly InstanceId[] {
    return this.members().map(({ id }) => id)
  }

  keepLinks (): void {}

  send (to: InstanceId, topic: Topic, message: Json): void {
    if (this.#isStopped) return
    this.#network.transmit(this, to, (receiver) => { void receiver.receive(this.self, topic, message, this.incarnation) })
  }

  broadcast (topic: Topic, message: Json): void {
    for (const node of this.#network.othersOf(this.self)) this.send(node.self, topic, message)
  }

  ask (to: InstanceId, topic: Topic, message: Json, timeout: Millis): Promise<Result<Json, PeerError>> {
    if (this.#isStopped || !this.isConnected(to)) {
      return Promise.resolve(Result.err({ kind: 'unreachable', detail: `no link to ${to}` }))
    }
    return new Promise((resolve) => {
      const timer = this.#network.clock.after(timeout, () => {
        resolve(Result.err({ kind: 'timeout', detail: `${to} did not answer in ${timeout} ms` }))
      })
      this.#network.transmit(this, to, (receiver) => {
        void receiver.receive(this.self, topic, message, this.incarnation).then((answer) => {
          if (answer === undefined) return
          this.#network.transmit(receiver, this.self, () => {
            timer.cancel()
            resolve(Result.ok(answer))
          })
        })
      })
    })
  }

  handle (topic: Topic, handler: PeerHandler): void {
    this.#handlers.set(topic, handler)
  }

  publish (topic: Topic, key: string, value: Json): void {
    if (this.#isStopped) return
    this.#sequence++
    const entry: GossipEntry = {
      topic, key, owner: this.self, incarnation: this.incarnation, sequence: this.#sequence, value
    }
    this.accept(entry)
    for (const node of this.#network.othersOf(this.self)) {
      this.#network.transmit(this, node.self, (receiver) => receiver.accept(entry))
    }
  }

  entries (topic: Topic): readonly GossipEntry[] {
    return [...this.#entries.values()].filter((entry) => entry.topic === topic)
  }

  onEntry (topic: Topic, listener: (entry: GossipEntry) => void): void {
    const listeners = this.#listeners.get(topic) ?? []
    listeners.push(listener)
    this.#listeners.set(topic, listeners)
  }

  close (): Promise<void> {
    this.#network.kill(this.self)
    return Promise.resolve()
  }

  stop (): void {
    this.#isStopped = true
  }

  /** Copies the entries of another instance, as anti-entropy does. */
  syncFrom (other: FakePeers): void {
    for (const entry of other.#entries.values()) this.accept(entry)
  }

  accept (entry: GossipEntry): void {
    const key = entryKey(entry)
    if (this.#isStopped || !isNewer(entry, this.#entries.get(key))) return
    this.#entries.set(key, entry)
    for (const listener of this.#listeners.get(entry.topic) ?? []) listener(entry)
  }

  async receive (from: InstanceId, topic: Topic, message: Json, incarnation: Incarnation): Promise<Json | undefined> {
    if (this.#isStopped) return undefined
    return await this.#handlers.get(topic)?.(from, message, incarnation)
  }
}

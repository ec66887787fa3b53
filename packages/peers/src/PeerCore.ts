import { millis, openListener, SILENT_LOG } from '@papayahill/common'
import type { Clock, DomainId, EventLog, Incarnation, InstanceId, Json, Millis, Random, Timer } from '@papayahill/common'
import { Result } from 'true-myth'
import {
  COMPARE_PERIOD, GOSSIP_PERIOD, HEARTBEAT_PERIOD, HEARTBEAT_TIMEOUT, LINK_PERIOD, LIST_PERIOD, MEMBERS_CACHE_TTL, READ_PERIOD,
  SPARSE_HEARTBEAT_PERIOD, SPARSE_HEARTBEAT_TIMEOUT
} from './constants.js'
import { PEERS_EVENTS } from './events.js'
import type { Frame } from './frames.js'
import { GossipSpreader } from './GossipSpreader.js'
import { GossipStore } from './GossipStore.js'
import { LinkTable } from './LinkTable.js'
import { MemberTable, readMember } from './MemberTable.js'
import type { OpenLink } from './OpenLink.js'
import { PendingAsks } from './PendingAsks.js'
import { ReadWatch } from './ReadWatch.js'
import { TrafficMeter } from './TrafficMeter.js'
import type { PeerAddress, PeerList, Transport } from './transport.js'
import type { GossipEntry, LinkCloseReason, PeerError, PeerHandler, PeerMember, Peers, Topic, TopicTraffic } from './types.js'

export interface PeerCoreOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly domain: DomainId
  /** CPU share available to this instance, in cores. */
  readonly capacity?: number
  readonly clock: Clock
  readonly random: Random
  readonly transport: Transport
  readonly list: PeerList
  readonly log?: EventLog
}

const NO_ANSWER = Symbol('no answer')

/** Reasons that say something about the peer. */
const LOSS_REASONS: ReadonlySet<LinkCloseReason> = new Set(['silent', 'faulty', 'lost'])

/**
 * Membership, messages and gossip over any transport, so that all of it can run in virtual time.
 * The platform's instance list is only a seed: known peers are kept while the list is stale, wrong or empty.
 */
export class PeerCore implements Peers {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly #options: PeerCoreOptions
  readonly #log: EventLog
  readonly #meter = new TrafficMeter()
  readonly #reads: ReadWatch
  readonly #store: GossipStore
  readonly #spreader: GossipSpreader
  readonly #links: LinkTable
  readonly #memberTable: MemberTable
  readonly #pendingAsks: PendingAsks
  readonly #handlers = new Map<Topic, PeerHandler>()
  readonly #listeners = new Map<Topic, Array<(entry: GossipEntry) => void>>()
  /** Peers whose links are kept open, for each topic that needs them. */
  readonly #keptLinks = new Map<Topic, ReadonlySet<InstanceId>>()
  readonly #timers: Timer[] = []
  #address: PeerAddress | undefined
  #isClosed = false
  #isListUnusable = false
  #members: readonly PeerMember[] = []
  /** Expiry of the cached members. */
  #membersCachedUntil: Millis = millis(0)

  constructor (options: PeerCoreOptions) {
    const { self, incarnation, domain, capacity, clock, random, transport } = options
    this.self = self
    this.incarnation = incarnation
    this.#options = options
    this.#log = options.log ?? SILENT_LOG
    this.#store = new GossipStore({ self, incarnation, clock })
    this.#reads = new ReadWatch(clock)
    this.#links = new LinkTable({
      self,
      clock,
      random,
      transport,
      meter: this.#meter,
      reads: this.#reads,
      onOpen: (link) => this.#handleOpen(link),
      onClose: (link, reason) => this.#handleClose(link, reason),
      onFrame: (link, frame) => this.#receiveGuarded(link, frame)
    })
    this.#spreader = new GossipSpreader({
      store: this.#store,
      clock,
      random,
      links: () => this.#links.active(),
      isMesh: () => this.#links.isMesh,
      onEntry: (entry) => this.#notify(entry)
    })
    this.#memberTable = new MemberTable({
      id: self, incarnation, domain, capacity, store: this.#store, publish: (key, value) => this.publish('heartbeat', key, value)
    })
    this.#pendingAsks = new PendingAsks(clock)
    this.onEntry('heartbeat', (entry) => this.#receiveMember(entry))
  }

  /** Where this instance listens for peers; undefined before the start. */
  get address (): PeerAddress | undefined {
    return this.#address
  }

  /**
   * Opens the listener, reads the instance list once and starts to open links; resolves once all of it is done. While the
   * listener cannot be opened, links are dialled without it.
   */
  async start (): Promise<void> {
    const { clock, transport } = this.#options
    let links: Promise<void> | undefined
    const address = await openListener({
      clock,
      open: () => transport.listen((link) => this.#links.add(link, false)),
      onBlocked: (err) => {
        this.#log.emit(PEERS_EVENTS.listenerBlocked, { detail: err.message })
        links ??= this.#startLinks()
      },
      isClosed: () => this.#isClosed
    })
    if (address === undefined) return
    this.#address = address
    this.#log.emit(PEERS_EVENTS.listening, { ip: address.ip, port: address.port })
    this.#memberTable.announce(address)
    await (links ?? this.#startLinks())
  }

  async #startLinks (): Promise<void> {
    const { clock, random } = this.#options
    await this.#readList()
    this.#links.tick()
    this.#repeat(READ_PERIOD, () => this.#reads.tick())
    this.#repeat(LIST_PERIOD, () => { void this.#readList() })
    this.#repeat(LINK_PERIOD, () => this.#checkLinks())
    this.#repeat(GOSSIP_PERIOD, () => this.#spreader.flush())
    this.#repeat(COMPARE_PERIOD, () => this.#compareStores())
    this.#timers.push(clock.after(millis(HEARTBEAT_PERIOD * random.next()), () => this.#sendHeartbeats()))
  }

  stop (): Promise<void> {
    return this.close()
  }

  /** Number of gossip entries that are kept. */
  get entryCount (): number {
    return this.#store.size
  }

  members (): readonly PeerMember[] {
    const now = this.#options.clock.now()
    if (now < this.#membersCachedUntil) return this.#members
    this.#members = this.#computeMembers()
    this.#membersCachedUntil = millis(now + MEMBERS_CACHE_TTL)
    return this.#members
  }

  #computeMembers (): readonly PeerMember[] {
    const { isMesh } = this.#links
    const timeout = isMesh ? HEARTBEAT_TIMEOUT : SPARSE_HEARTBEAT_TIMEOUT
    const linked = this.#links.all().filter((link) => link.silence < timeout).map((link): PeerMember => ({
      id: link.peer.id,
      incarnation: link.peer.incarnation,
      domain: link.peer.domain,
      capacity: this.#memberTable.get(link.peer.id)?.capacity ?? 1,
      silence: link.silence,
      heartbeatPeriod: this.#heartbeatPeriod
    }))
    if (isMesh) return linked
    const direct = new Set(linked.map((member) => member.id))
    const others = this.#memberTable.alive().filter((member) => !direct.has(member.id)).map((member): PeerMember => ({
      id: member.id, incarnation: member.incarnation, domain: member.domain, capacity: member.capacity, silence: millis(0)
    }))
    return [...linked, ...others]
  }

  isConnected (id: InstanceId): boolean {
    return this.#links.get(id) !== undefined
  }

  neighbours (): readonly InstanceId[] {
    return this.#links.active().map((link) => link.peer.id)
  }

  keepLinks (to: ReadonlySet<InstanceId>, topic: Topic = 'stage'): void {
    this.#keptLinks.set(topic, to)
    this.#links.keepOpen(new Set([...this.#keptLinks.values()].flatMap((ids) => [...ids])))
  }

  send (to: InstanceId, topic: Topic, message: Json): void {
    const link = this.#links.get(to)
    if (link !== undefined) link.send({ kind: 'message', topic, body: message })
    else void this.#links.open(to, true).then((opened) => opened?.send({ kind: 'message', topic, body: message }))
  }

  broadcast (topic: Topic, message: Json): void {
    for (const link of this.#links.all()) link.send({ kind: 'message', topic, body: message })
  }

  async ask (to: InstanceId, topic: Topic, message: Json, timeout: Millis): Promise<Result<Json, PeerError>> {
    const link = this.#links.get(to) ?? await this.#links.open(to, true)
    if (link === undefined) return Result.err({ kind: 'unreachable', detail: `no link to ${to}` })
    return await this.#pendingAsks.ask(to, timeout, (ask) => link.send({ kind: 'message', topic, body: message, ask }))
  }

  handle (topic: Topic, handler: PeerHandler): void {
    this.#handlers.set(topic, handler)
  }

  publish (topic: Topic, key: string, value: Json): void {
    const entry = this.#store.publish(topic, key, value)
    this.#notify(entry)
    this.#spreader.spread(entry)
  }

  entries (topic: Topic): readonly GossipEntry[] {
    return this.#store.entries(topic)
  }

  onEntry (topic: Topic, listener: (entry: GossipEntry) => void): void {
    const listeners = this.#listeners.get(topic) ?? []
    listeners.push(listener)
    this.#listeners.set(topic, listeners)
  }

  /** Bytes and messages of each topic since the start. */
  traffic (): readonly TopicTraffic[] {
    return this.#meter.traffic()
  }

  async close (): Promise<void> {
    this.#isClosed = true
    this.#memberTable.leave()
    this.#spreader.flush()
    for (const timer of this.#timers) timer.cancel()
    this.#links.close()
    await this.#options.transport.close()
  }

  #repeat (period: Millis, act: () => void): void {
    this.#timers.push(this.#options.clock.every(period, act))
  }

  /** Sends a heartbeat on every link; a random first delay keeps instances out of step. */
  #sendHeartbeats (): void {
    const { clock } = this.#options
    for (const link of this.#links.all()) link.send({ kind: 'heartbeat' })
    // The timer of the heartbeats is the last one that `start` added.
    this.#timers[this.#timers.length - 1] = clock.after(this.#heartbeatPeriod, () => this.#sendHeartbeats())
  }

  get #heartbeatPeriod (): Millis {
    return this.#links.isMesh ? HEARTBEAT_PERIOD : SPARSE_HEARTBEAT_PERIOD
  }

  #checkLinks (): void {
    const timeout = this.#links.isMesh ? HEARTBEAT_TIMEOUT : SPARSE_HEARTBEAT_TIMEOUT
    for (const link of this.#links.all()) {
      if (link.silence < timeout) continue
      this.#log.emit(PEERS_EVENTS.peerSilent, { peer: link.peer.id, silence: link.silence })
      this.#links.terminate(link, 'silent')
    }
    this.#links.tick()
    this.#spreader.continueCatchUps()
  }

  #compareStores (): void {
    const alive = new Set(this.members().map((member) => member.id))
    this.#store.expire((owner) => alive.has(owner))
    this.#memberTable.refresh()
    this.#spreader.compare()
  }

  async #readList (): Promise<void> {
    const listed = await this.#options.list.list()
    const isEmpty = listed.isOk && listed.value.instances.length === 0
    if (listed.isErr || isEmpty) {
      if (!this.#isListUnusable) this.#log.emit(isEmpty ? PEERS_EVENTS.listEmpty : PEERS_EVENTS.listUnreadable)
      this.#isListUnusable = true
      return
    }
    this.#isListUnusable = false
    for (const { id, address } of listed.value.instances) this.#links.addAddress(id, address)
  }

  #handleOpen (link: OpenLink): void {
    this.#membersCachedUntil = millis(0)
    // What was asked over an earlier link, which this one replaces, gets no answer.
    this.#pendingAsks.failFor(link.peer.id)
    this.#log.emit(PEERS_EVENTS.linkOpened, { peer: link.peer.id, incarnation: link.peer.incarnation })
    link.send({ kind: 'heartbeat' })
    this.#spreader.catchUp(link)
  }

  #handleClose (link: OpenLink, reason: LinkCloseReason): void {
    this.#membersCachedUntil = millis(0)
    const isAnnounced = !LOSS_REASONS.has(reason)
    this.#log.emit(PEERS_EVENTS.linkClosed, { peer: link.peer.id, announced: isAnnounced, reason })
    this.#pendingAsks.failFor(link.peer.id)
    if (!isAnnounced && !link.isTemporary && !this.#links.isMesh) this.#memberTable.reportLost(link.peer)
  }

  #receiveMember (entry: GossipEntry): void {
    this.#membersCachedUntil = millis(0)
    this.#memberTable.receive(entry)
    const member = readMember(entry)
    if (member === undefined || member.id === this.self) return
    if (member.isLeaving) this.#links.forgetPeer(member.id)
    else this.#links.addAddress(member.id, member.address)
  }

  /** Handles a frame; an error closes the link that the frame came over and nothing else. */
  #receiveGuarded (link: OpenLink, frame: Frame): void {
    try {
      this.#receive(link, frame)
    } catch (err) {
      const detail = err instanceof Error ? err.message : String(err)
      this.#log.emit(PEERS_EVENTS.frameFaulty, { peer: link.peer.id, kind: frame.kind, detail })
      this.#links.terminate(link, 'faulty')
    }
  }

  #receive (link: OpenLink, frame: Frame): void {
    if (frame.kind === 'message') void this.#answer(link, frame)
    else if (frame.kind === 'answer') this.#pendingAsks.receiveAnswer(link.peer.id, frame.ask, frame.body)
    else this.#spreader.receive(frame, link)
  }

  async #answer (link: OpenLink, frame: Extract<Frame, { readonly kind: 'message' }>): Promise<void> {
    const { topic, ask } = frame
    const answer = await this.#handlers.get(topic)?.(link.peer.id, frame.body, link.peer.incarnation) ?? NO_ANSWER
    if (ask !== undefined && answer !== NO_ANSWER) link.send({ kind: 'answer', topic, ask, body: answer })
  }

  #notify (entry: GossipEntry): void {
    for (const listener of this.#listeners.get(entry.topic) ?? []) listener(entry)
  }
}

import { millis } from '@papayahill/common'
import type { Clock, InstanceId, Millis, Random } from '@papayahill/common'
import { LRUCache } from 'lru-cache'
import { FORGOTTEN_AFTER, IDLE_LINK_TIMEOUT, MAX_KNOWN_PEERS, MAX_REDIAL, MIN_REDIAL, UNCOUNTED_AFTER } from './constants.js'
import { OpenLink } from './OpenLink.js'
import { isFullMesh, planLinks } from './PartialView.js'
import type { TrafficMeter } from './TrafficMeter.js'
import type { Link, PeerAddress, Transport } from './transport.js'

interface Known {
  address: PeerAddress
  /** Not dialled again before. */
  notBefore: Millis
  wait: Millis
  isDialling: boolean
  /** Since when no link to it could be opened; undefined where the last try went well. */
  failingSince: Millis | undefined
}

export interface LinkTableOptions {
  readonly self: InstanceId
  readonly clock: Clock
  readonly random: Random
  readonly transport: Transport
  readonly meter: TrafficMeter
  readonly onOpen: (link: OpenLink) => void
  readonly onClose: (link: OpenLink, isAnnounced: boolean) => void
  readonly onFrame: (link: OpenLink, frame: Parameters<Parameters<OpenLink['onFrame']>[0]>[0]) => void
}

/** The links of one instance, one for each peer, and the addresses by which others may be reached. */
export class LinkTable {
  readonly #options: LinkTableOptions
  readonly #links = new Map<InstanceId, OpenLink>()
  readonly #known = new LRUCache<InstanceId, Known>({ max: MAX_KNOWN_PEERS })
  readonly #announced = new Set<OpenLink>()
  /** Peers to which links are kept beside those that carry gossip. */
  #kept: ReadonlySet<InstanceId> = new Set()
  #isClosed = false
  /** Known peers that are not known to be gone. */
  #reachable = 0

  constructor (options: LinkTableOptions) {
    this.#options = options
  }

  get isMesh (): boolean {
    return isFullMesh(this.#reachable)
  }

  get (id: InstanceId): OpenLink | undefined {
    return this.#links.get(id)
  }

  /** Links that carry gossip. */
  active (): readonly OpenLink[] {
    return [...this.#links.values()].filter((link) => !link.isTemporary)
  }

  all (): readonly OpenLink[] {
    return [...this.#links.values()]
  }

  /** Remembers where a peer may be reached. */
  learn (id: InstanceId, address: PeerAddress): void {
    if (id === this.#options.self) return
    const known = this.#known.get(id)
    if (known !== undefined) {
      known.address = address
      return
    }
    this.#known.set(id, { address, notBefore: millis(0), wait: MIN_REDIAL, isDialling: false, failingSince: undefined })
    this.#reachable++
  }

  forget (id: InstanceId): void {
    if (!this.#links.has(id)) this.#known.delete(id)
    this.#countReachable()
  }

  /** Dials what is missing and drops what is too much. */
  look (): void {
    const { random, clock } = this.#options
    const now = clock.now()
    this.#forgetGone(now)
    this.#countReachable()
    const known = [...this.#known.keys()].filter((id) => this.#links.has(id) || this.#mayDial(id, now))
    const active = this.active().map((link) => link.peer.id)
    const plan = this.isMesh
      ? { dial: known.filter((id) => !active.includes(id)), drop: [] }
      : planLinks(random, known, active)
    for (const id of plan.dial) void this.open(id, false)
    for (const id of plan.drop) this.#drop(id)
    this.#dialKept(now)
    this.#closeIdle()
  }

  /** Keeps links to these peers open; those to others named before may close when idle. */
  keep (ids: ReadonlySet<InstanceId>): void {
    this.#kept = ids
    this.#dialKept(this.#options.clock.now())
  }

  #dialKept (now: Millis): void {
    for (const id of this.#kept) if (!this.#links.has(id) && this.#mayDial(id, now)) void this.open(id, true)
  }

  /** The link to a peer, opened where there is none and its address is known. */
  async open (id: InstanceId, isTemporary: boolean): Promise<OpenLink | undefined> {
    const linked = this.#links.get(id)
    if (linked !== undefined) {
      if (linked.isTemporary && !isTemporary) this.#use(linked, true)
      return linked
    }
    const known = this.#known.get(id)
    if (known === undefined || known.isDialling || this.#isClosed) return undefined
    known.isDialling = true
    const link = await this.#options.transport.dial(known.address)
    known.isDialling = false
    this.#noteDialled(known, link?.peer.id === id)
    if (link === undefined) return undefined
    this.add(link, isTemporary)
    return this.#links.get(id)
  }

  /** Takes a new link in, unless there is a better one to the same peer. */
  add (link: Link, isTemporary: boolean): void {
    const { self, clock, meter, onOpen, onFrame } = this.#options
    const { id } = link.peer
    const present = this.#links.get(id)
    if (id === self || this.#isClosed || (present !== undefined && !this.#isBetter(link, present))) return link.close()
    const opened = new OpenLink({ clock, meter, link, isTemporary: isTemporary && present?.isTemporary !== false })
    this.#links.set(id, opened)
    this.learn(id, link.peer.address)
    if (present !== undefined) this.#announced.add(present)
    present?.close()
    opened.onFrame((frame) => {
      if (frame.kind === 'bye') this.#announced.add(opened)
      if (frame.kind === 'use') opened.isTemporary = !frame.isGossip
      onFrame(opened, frame)
    })
    opened.onClose(() => this.#closed(opened))
    if (opened.isDialled && opened.isTemporary) this.#use(opened, false)
    onOpen(opened)
  }

  /** Announces what the link is for, so that it does not count messages' links among those for gossip. */
  #use (link: OpenLink, isGossip: boolean): void {
    link.isTemporary = !isGossip
    link.send({ kind: 'use', isGossip })
  }

  /** Closes a link that has fallen silent. */
  lose (link: OpenLink): void {
    link.cut()
  }

  close (): void {
    this.#isClosed = true
    for (const link of this.all()) this.#drop(link.peer.id)
  }

  #mayDial (id: InstanceId, now: Millis): boolean {
    const known = this.#known.peek(id)
    return known !== undefined && !known.isDialling && known.notBefore <= now
  }

  #forgetGone (now: Millis): void {
    for (const [id, known] of [...this.#known.entries()]) {
      const isGone = known.failingSince !== undefined && now - known.failingSince > FORGOTTEN_AFTER
      if (isGone && !this.#links.has(id)) this.#known.delete(id)
    }
  }

  #countReachable (): void {
    const now = this.#options.clock.now()
    this.#reachable = [...this.#known.entries()].filter(([id, { failingSince }]) =>
      this.#links.has(id) || failingSince === undefined || now - failingSince <= UNCOUNTED_AFTER).length
  }

  #noteDialled (known: Known, isRight: boolean): void {
    const { clock, random } = this.#options
    known.failingSince = isRight ? undefined : known.failingSince ?? clock.now()
    known.wait = isRight ? MIN_REDIAL : millis(Math.min(MAX_REDIAL, known.wait * 2))
    known.notBefore = millis(clock.now() + known.wait * (1 + random.next()) / 2)
  }

  /** A newer life replaces an older; of two links to one life both sides keep the one that the smaller name dialled. */
  #isBetter (link: Link, present: OpenLink): boolean {
    if (link.peer.incarnation !== present.peer.incarnation) return link.peer.incarnation > present.peer.incarnation
    return link.isDialled === (this.#options.self < link.peer.id) && present.isDialled !== link.isDialled
  }

  #drop (id: InstanceId): void {
    const link = this.#links.get(id)
    if (link === undefined) return
    link.send({ kind: 'bye' })
    this.#announced.add(link)
    link.close()
  }

  #closed (link: OpenLink): void {
    const isAnnounced = this.#announced.delete(link)
    if (this.#links.get(link.peer.id) !== link) return
    this.#links.delete(link.peer.id)
    this.#options.onClose(link, isAnnounced)
  }

  #closeIdle (): void {
    for (const link of this.all()) {
      const isIdle = link.isTemporary && link.isDialled && link.idle > IDLE_LINK_TIMEOUT
      if (isIdle && !this.#kept.has(link.peer.id)) this.#drop(link.peer.id)
    }
  }
}

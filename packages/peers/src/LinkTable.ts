import { millis } from '@papayahill/common'
import type { Clock, InstanceId, Millis, Random } from '@papayahill/common'
import { LRUCache } from 'lru-cache'
import { FORGET_PEER_AFTER, IDLE_LINK_TIMEOUT, LINK_SETTLE_TIME, MAX_KNOWN_PEERS, MAX_REDIAL_DELAY, MIN_REDIAL_DELAY, UNREACHABLE_AFTER } from './constants.js'
import { OpenLink } from './OpenLink.js'
import { isFullMesh, planLinks } from './PartialView.js'
import type { ReadWatch } from './ReadWatch.js'
import type { TrafficMeter } from './TrafficMeter.js'
import type { Link, PeerAddress, Transport } from './transport.js'
import type { LinkCloseReason } from './types.js'

interface KnownPeer {
  address: PeerAddress
  /** Earliest time of the next dial. */
  notBefore: Millis
  redialDelay: Millis
  /** The dial in progress. */
  dial: Promise<OpenLink | undefined> | undefined
  /** Time of the first failed dial in a row; undefined if the last one succeeded. */
  failingSince: Millis | undefined
}

export interface LinkTableOptions {
  readonly self: InstanceId
  readonly clock: Clock
  readonly random: Random
  readonly transport: Transport
  readonly meter: TrafficMeter
  readonly reads: Pick<ReadWatch, 'readUntil'>
  readonly onOpen: (link: OpenLink) => void
  readonly onClose: (link: OpenLink, reason: LinkCloseReason) => void
  readonly onFrame: (link: OpenLink, frame: Parameters<Parameters<OpenLink['onFrame']>[0]>[0]) => void
}

/** The links of one instance, at most one per peer, and the known addresses of peers. */
export class LinkTable {
  readonly #options: LinkTableOptions
  readonly #links = new Map<InstanceId, OpenLink>()
  readonly #known = new LRUCache<InstanceId, KnownPeer>({ max: MAX_KNOWN_PEERS })
  /** Why a link that is being closed is closed. */
  readonly #closeReasons = new Map<OpenLink, LinkCloseReason>()
  /** Peers to which links are kept open in addition to the gossip links. */
  #keptOpen: ReadonlySet<InstanceId> = new Set()
  #isClosed = false
  /** Number of known peers that count as reachable. */
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

  /** Adds or updates the address of a peer. */
  addAddress (id: InstanceId, address: PeerAddress): void {
    if (id === this.#options.self) return
    const known = this.#known.get(id)
    if (known !== undefined) {
      known.address = address
      return
    }
    this.#known.set(id, { address, notBefore: millis(0), redialDelay: MIN_REDIAL_DELAY, dial: undefined, failingSince: undefined })
    this.#reachable++
  }

  /** Removes a peer that left, unless a link to it is still open. */
  forgetPeer (id: InstanceId): void {
    if (!this.#links.has(id)) this.#known.delete(id)
    this.#countReachable()
  }

  /** Dials missing links and closes surplus and idle ones. */
  tick (): void {
    const { random, clock } = this.#options
    const now = clock.now()
    this.#forgetUnreachable(now)
    this.#countReachable()
    const known = [...this.#known.keys()].filter((id) => this.#links.has(id) || this.#canDial(id, now))
    const active = this.active()
    const linked = active.map((link) => link.peer.id)
    const settled = active.filter((link) => link.age >= LINK_SETTLE_TIME).map((link) => link.peer.id)
    const plan = this.isMesh
      ? { dial: known.filter((id) => !linked.includes(id)), drop: [] }
      : planLinks(random, known, linked, settled)
    for (const id of plan.dial) void this.open(id, false)
    for (const id of plan.drop) this.#dropSurplus(id)
    this.#dialKeptOpen(now)
    this.#closeIdle()
  }

  /** Keeps links to exactly these peers open; links to peers of the previous set may close when idle. */
  keepOpen (ids: ReadonlySet<InstanceId>): void {
    this.#keptOpen = ids
    this.#dialKeptOpen(this.#options.clock.now())
  }

  #dialKeptOpen (now: Millis): void {
    for (const id of this.#keptOpen) if (!this.#links.has(id) && this.#canDial(id, now)) void this.open(id, true)
  }

  /** Returns the link to a peer, and dials one if there is none and the peer's address is known. */
  async open (id: InstanceId, isTemporary: boolean): Promise<OpenLink | undefined> {
    const existing = this.#links.get(id)
    if (existing !== undefined) {
      if (existing.isTemporary && !isTemporary) this.#announceUse(existing, true)
      return existing
    }
    const known = this.#known.get(id)
    if (known === undefined || this.#isClosed) return undefined
    known.dial ??= this.#dial(id, known, isTemporary)
    const opened = await known.dial
    if (opened?.isTemporary === true && !isTemporary) this.#announceUse(opened, true)
    return opened
  }

  async #dial (id: InstanceId, known: KnownPeer, isTemporary: boolean): Promise<OpenLink | undefined> {
    let link: Link | undefined
    try {
      link = await this.#options.transport.dial(known.address)
    } finally {
      known.dial = undefined
      this.#recordDial(known, link?.peer.id === id)
    }
    if (link !== undefined) this.add(link, isTemporary)
    return this.#links.get(id)
  }

  /** Adds a new link in place of a less preferred one to the same peer; otherwise closes it. */
  add (link: Link, isTemporary: boolean): void {
    const { self, clock, meter, reads, onOpen, onFrame } = this.#options
    const { id } = link.peer
    const existing = this.#links.get(id)
    if (id === self || this.#isClosed || (existing !== undefined && !this.#isPreferred(link, existing))) return link.close()
    const opened = new OpenLink({ clock, meter, reads, link, isTemporary: isTemporary && existing?.isTemporary !== false })
    this.#links.set(id, opened)
    this.addAddress(id, link.peer.address)
    if (existing !== undefined) this.#closeReasons.set(existing, 'replaced')
    existing?.close()
    opened.onFrame((frame) => {
      if (frame.kind === 'bye') this.#closeReasons.set(opened, 'peer')
      if (frame.kind === 'use') opened.isTemporary = !frame.isGossip
      onFrame(opened, frame)
    })
    opened.onClose(() => this.#handleClose(opened))
    if (opened.isDialled && opened.isTemporary) this.#announceUse(opened, false)
    onOpen(opened)
  }

  /** Tells the peer what the link is used for, so that it does not count links for messages alone as gossip links. */
  #announceUse (link: OpenLink, isGossip: boolean): void {
    link.isTemporary = !isGossip
    link.send({ kind: 'use', isGossip })
  }

  /** Closes a link whose peer is silent or whose frame could not be handled. */
  terminate (link: OpenLink, reason: 'silent' | 'faulty'): void {
    this.#closeReasons.set(link, reason)
    link.terminate()
  }

  close (): void {
    this.#isClosed = true
    for (const link of this.all()) this.#closeAnnounced(link.peer.id, 'stop')
  }

  #canDial (id: InstanceId, now: Millis): boolean {
    const known = this.#known.peek(id)
    return known !== undefined && known.dial === undefined && known.notBefore <= now
  }

  #forgetUnreachable (now: Millis): void {
    for (const [id, known] of [...this.#known.entries()]) {
      const isGone = known.failingSince !== undefined && now - known.failingSince > FORGET_PEER_AFTER
      if (isGone && !this.#links.has(id)) this.#known.delete(id)
    }
  }

  #countReachable (): void {
    const now = this.#options.clock.now()
    this.#reachable = [...this.#known.entries()].filter(([id, { failingSince }]) =>
      this.#links.has(id) || failingSince === undefined || now - failingSince <= UNREACHABLE_AFTER).length
  }

  #recordDial (known: KnownPeer, isSuccess: boolean): void {
    const { clock, random } = this.#options
    known.failingSince = isSuccess ? undefined : known.failingSince ?? clock.now()
    known.redialDelay = isSuccess ? MIN_REDIAL_DELAY : millis(Math.min(MAX_REDIAL_DELAY, known.redialDelay * 2))
    known.notBefore = millis(clock.now() + known.redialDelay * (1 + random.next()) / 2)
  }

  /**
   * A newer incarnation replaces an older one. Of two links to the same incarnation, both sides keep the one
   * dialled by the instance with the smaller id.
   */
  #isPreferred (link: Link, existing: OpenLink): boolean {
    if (link.peer.incarnation !== existing.peer.incarnation) return link.peer.incarnation > existing.peer.incarnation
    return link.isDialled === (this.#options.self < link.peer.id) && existing.isDialled !== link.isDialled
  }

  #closeAnnounced (id: InstanceId, reason: LinkCloseReason): void {
    const link = this.#links.get(id)
    if (link === undefined) return
    link.send({ kind: 'bye' })
    this.#closeReasons.set(link, reason)
    link.close()
  }

  #handleClose (link: OpenLink): void {
    const reason = this.#closeReasons.get(link) ?? 'lost'
    this.#closeReasons.delete(link)
    if (this.#links.get(link.peer.id) !== link) return
    this.#links.delete(link.peer.id)
    this.#options.onClose(link, reason)
  }

  /** A surplus link carries no more gossip; it stays open while messages need it. */
  #dropSurplus (id: InstanceId): void {
    const link = this.#links.get(id)
    if (link === undefined) return
    if (this.#keptOpen.has(id) || link.isUsed) this.#announceUse(link, false)
    else this.#closeAnnounced(id, 'surplus')
  }

  #closeIdle (): void {
    for (const link of this.all()) {
      const isIdle = link.isTemporary && link.isDialled && link.idle > IDLE_LINK_TIMEOUT
      if (isIdle && !this.#keptOpen.has(link.peer.id)) this.#closeAnnounced(link.peer.id, 'idle')
    }
  }
}

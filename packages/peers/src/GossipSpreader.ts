import { MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, Millis, Random } from '@papayahill/common'
import { FAN_OUT, GOSSIP_BURST_BYTES, GOSSIP_BYTES_PER_SECOND, MAX_COMPARED_BUCKETS, SPARSE_GOSSIP_BYTES_PER_SECOND } from './constants.js'
import type { Frame } from './frames.js'
import type { GossipStore } from './GossipStore.js'
import { pickRandom } from './PartialView.js'
import type { PeerIdentity } from './transport.js'
import type { GossipEntry, Topic } from './types.js'

/** Topics whose entries are sent immediately over every link; entries of other topics are queued. */
const URGENT_TOPICS: ReadonlySet<Topic> = new Set<Topic>(['heartbeat', 'latch', 'config', 'order', 'endpoint', 'quarantine', 'reach'])
/** Maximum number of entries in one frame. */
const MAX_FRAME_ENTRIES = 64
/** Maximum number of repeated store comparisons on a new link. */
const MAX_CATCH_UP_ROUNDS = 12

/** The part of a link that gossip uses. */
export interface GossipLink {
  readonly peer: PeerIdentity
  send (frame: Frame): number
}

export interface GossipSpreaderOptions {
  readonly store: GossipStore
  readonly clock: Clock
  readonly random: Random
  /** Links that entries are sent over. */
  readonly links: () => readonly GossipLink[]
  /** Whether every instance has a link to every other. */
  readonly isMesh: () => boolean
  readonly onEntry: (entry: GossipEntry) => void
}

const nameOf = (entry: GossipEntry): string => `${entry.topic} ${entry.owner} ${entry.key}`

/**
 * Disseminates entries. Urgent ones are sent immediately over all links; the others are queued and rate
 * limited by a token bucket of bytes, and a newer entry replaces the queued older one. Entries that are
 * lost on the way are repaired by periodic comparison of stores (anti-entropy).
 */
export class GossipSpreader {
  readonly #options: GossipSpreaderOptions
  readonly #queue = new Map<string, GossipEntry>()
  /** Comparisons left on each new link. */
  readonly #catchUpRounds = new Map<GossipLink, number>()
  readonly #differingLinks = new Set<GossipLink>()
  #byteBudget = GOSSIP_BURST_BYTES
  #refilledAt: Millis

  constructor (options: GossipSpreaderOptions) {
    this.#options = options
    this.#refilledAt = options.clock.now()
  }

  /** Forwards an entry that is new to this instance; `from` is the link it came from. */
  spread (entry: GossipEntry, from?: GossipLink): void {
    if (URGENT_TOPICS.has(entry.topic)) return this.#sendAll([entry], from)
    const isOwn = from === undefined
    // In a full mesh the owner sends the entry to every instance itself.
    if (!isOwn && this.#options.isMesh()) return
    // A newer entry keeps the queue position of the older one, so that an owner that publishes often is not starved.
    this.#queue.set(nameOf(entry), entry)
  }

  /** Sends queued entries until the byte budget is used up. */
  flush (): void {
    this.#refillBudget()
    while (this.#queue.size > 0 && this.#byteBudget > 0) {
      const batch = [...this.#queue].slice(0, MAX_FRAME_ENTRIES)
      for (const [name] of batch) this.#queue.delete(name)
      const { links, random, isMesh } = this.#options
      const targets = isMesh() ? links() : pickRandom(random, links(), FAN_OUT)
      if (targets.length === 0) return
      const frame: Frame = { kind: 'entries', entries: batch.map(([, entry]) => entry) }
      for (const link of targets) this.#byteBudget -= link.send(frame)
    }
  }

  /** Starts a comparison with one random peer. */
  compare (): void {
    const [link] = pickRandom(this.#options.random, this.#options.links(), 1)
    if (link !== undefined) this.#sendHashes(link)
  }

  /** Compares with a new peer until nothing differs, a bounded number of times. */
  catchUp (link: GossipLink): void {
    this.#catchUpRounds.set(link, MAX_CATCH_UP_ROUNDS)
    this.#sendHashes(link)
  }

  /** Compares again on new links whose last comparison found differences. */
  continueCatchUps (): void {
    const links = this.#options.links()
    for (const [link, roundsLeft] of this.#catchUpRounds) {
      if (roundsLeft === 0 || !links.includes(link)) this.#catchUpRounds.delete(link)
      else if (this.#differingLinks.delete(link)) {
        this.#catchUpRounds.set(link, roundsLeft - 1)
        this.#sendHashes(link)
      }
    }
  }

  receive (frame: Frame, from: GossipLink): void {
    if (frame.kind === 'entries') this.#acceptEntries(frame.entries, from)
    if (frame.kind === 'compare') this.#answerCompare(frame.hashes, from)
    if (frame.kind === 'differ') this.#answerDiffer(frame, from)
  }

  #acceptEntries (entries: readonly GossipEntry[], from: GossipLink): void {
    for (const entry of entries) {
      for (const own of this.#options.store.outbid(entry)) this.spread(own)
      if (!this.#options.store.accept(entry)) continue
      this.#options.onEntry(entry)
      this.spread(entry, from)
    }
  }

  #answerCompare (hashes: readonly number[], from: GossipLink): void {
    const { store, random } = this.#options
    const differing = store.hashes().map((hash, bucket) => ({ hash, bucket })).filter(({ hash, bucket }) => hash !== hashes[bucket])
    if (differing.length === 0) return
    const buckets = pickRandom(random, differing, MAX_COMPARED_BUCKETS).map(({ bucket }) => store.bucket(bucket))
    from.send({ kind: 'differ', buckets, isReply: false })
  }

  /** Sends the entries that the peer lacks. The first answer also carries the own digests, so that the peer can do the same. */
  #answerDiffer (frame: Extract<Frame, { readonly kind: 'differ' }>, from: GossipLink): void {
    const { store } = this.#options
    if (!frame.isReply && this.#catchUpRounds.has(from)) this.#differingLinks.add(from)
    // A peer that names more would get an answer of many times the size of its frame.
    const buckets = frame.buckets.slice(0, MAX_COMPARED_BUCKETS)
    const missing = buckets.flatMap((bucket) => store.missingIn(bucket))
    for (let start = 0; start < missing.length; start += MAX_FRAME_ENTRIES) {
      from.send({ kind: 'entries', entries: missing.slice(start, start + MAX_FRAME_ENTRIES) })
    }
    if (!frame.isReply) from.send({ kind: 'differ', buckets: buckets.map(({ bucket }) => store.bucket(bucket)), isReply: true })
  }

  #sendHashes (link: GossipLink): void {
    link.send({ kind: 'compare', hashes: this.#options.store.hashes() })
  }

  #sendAll (entries: readonly GossipEntry[], from?: GossipLink): void {
    for (const link of this.#options.links()) if (link !== from) link.send({ kind: 'entries', entries })
  }

  #refillBudget (): void {
    const now = this.#options.clock.now()
    const perSecond = this.#options.isMesh() ? GOSSIP_BYTES_PER_SECOND : SPARSE_GOSSIP_BYTES_PER_SECOND
    const refill = (now - this.#refilledAt) * perSecond / MILLIS_PER_SECOND
    this.#byteBudget = Math.min(GOSSIP_BURST_BYTES, this.#byteBudget + refill)
    this.#refilledAt = now
  }
}

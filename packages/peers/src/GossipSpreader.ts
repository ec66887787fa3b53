import { MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, Millis, Random } from '@papayahill/common'
import { FAN_OUT, GOSSIP_BURST_BYTES, GOSSIP_BYTES_PER_SECOND, MAX_COMPARED_BUCKETS, SPARSE_GOSSIP_BYTES_PER_SECOND } from './constants.js'
import type { Frame } from './frames.js'
import type { GossipStore } from './GossipStore.js'
import { pickLinks } from './PartialView.js'
import type { PeerIdentity } from './transport.js'
import type { GossipEntry, Topic } from './types.js'

/** Topics whose entries go out at once and over every link; the others wait for their turn. */
const URGENT: ReadonlySet<Topic> = new Set<Topic>(['heartbeat', 'latch', 'config', 'order'])
/** Most entries of one frame. */
const MAX_ENTRIES = 64
/** Comparisons on one new link at most. */
const MAX_CATCH_UPS = 12

/** One link as gossip sees it. */
export interface GossipLink {
  readonly peer: PeerIdentity
  send (frame: Frame): number
}

export interface GossipSpreaderOptions {
  readonly store: GossipStore
  readonly clock: Clock
  readonly random: Random
  /** Links to pass entries over. */
  readonly links: () => readonly GossipLink[]
  /** Whether every instance has a link to every other. */
  readonly isMesh: () => boolean
  readonly onEntry: (entry: GossipEntry) => void
}

const nameOf = (entry: GossipEntry): string => `${entry.topic} ${entry.owner} ${entry.key}`

/**
 * Spreads entries: urgent ones at once over all links, the others in turn within a budget of bytes,
 * where a newer entry takes the place of an older one that still waits. What gets lost on the way is
 * found by comparing stores now and then.
 */
export class GossipSpreader {
  readonly #options: GossipSpreaderOptions
  readonly #waiting = new Map<string, GossipEntry>()
  /** Comparisons that may still follow on a new link. */
  readonly #catchingUp = new Map<GossipLink, number>()
  readonly #differed = new Set<GossipLink>()
  #bytes = GOSSIP_BURST_BYTES
  #filledAt: Millis

  constructor (options: GossipSpreaderOptions) {
    this.#options = options
    this.#filledAt = options.clock.now()
  }

  /** Passes on an entry that is new here. */
  spread (entry: GossipEntry, from?: GossipLink): void {
    if (URGENT.has(entry.topic)) return this.#sendAll([entry], from)
    const isOwn = from === undefined
    if (!isOwn && this.#options.isMesh()) return
    // A newer entry keeps the place of the older one in the queue, so that a busy owner does not starve.
    this.#waiting.set(nameOf(entry), entry)
  }

  /** Sends what waits, as far as the budget goes. */
  flush (): void {
    this.#fill()
    while (this.#waiting.size > 0 && this.#bytes > 0) {
      const batch = [...this.#waiting].slice(0, MAX_ENTRIES)
      for (const [name] of batch) this.#waiting.delete(name)
      const { links, random, isMesh } = this.#options
      const targets = isMesh() ? links() : pickLinks(random, links(), FAN_OUT)
      if (targets.length === 0) return
      const frame: Frame = { kind: 'entries', entries: batch.map(([, entry]) => entry) }
      for (const link of targets) this.#bytes -= link.send(frame)
    }
  }

  /** Starts a comparison with one random peer. */
  compare (): void {
    const [link] = pickLinks(this.#options.random, this.#options.links(), 1)
    if (link !== undefined) this.#ask(link)
  }

  /** Compares with a new peer until nothing differs, a bounded number of times. */
  catchUp (link: GossipLink): void {
    this.#catchingUp.set(link, MAX_CATCH_UPS)
    this.#ask(link)
  }

  /** Goes on with comparisons that found differences. */
  goOn (): void {
    const links = this.#options.links()
    for (const [link, left] of this.#catchingUp) {
      if (left === 0 || !links.includes(link)) this.#catchingUp.delete(link)
      else if (this.#differed.delete(link)) {
        this.#catchingUp.set(link, left - 1)
        this.#ask(link)
      }
    }
  }

  take (frame: Frame, from: GossipLink): void {
    if (frame.kind === 'entries') this.#takeEntries(frame.entries, from)
    if (frame.kind === 'compare') this.#answerCompare(frame.hashes, from)
    if (frame.kind === 'differ') this.#answerDiffer(frame, from)
  }

  #takeEntries (entries: readonly GossipEntry[], from: GossipLink): void {
    for (const entry of entries) {
      if (!this.#options.store.accept(entry)) continue
      this.#options.onEntry(entry)
      this.spread(entry, from)
    }
  }

  #answerCompare (hashes: readonly number[], from: GossipLink): void {
    const { store, random } = this.#options
    const differing = store.hashes().map((hash, bucket) => ({ hash, bucket })).filter(({ hash, bucket }) => hash !== hashes[bucket])
    if (differing.length === 0) return
    const buckets = pickLinks(random, differing, MAX_COMPARED_BUCKETS).map(({ bucket }) => store.bucket(bucket))
    from.send({ kind: 'differ', buckets, isReply: false })
  }

  /** Sends what the other side lacks; the first answer also says what is here, so that the other can do the same. */
  #answerDiffer (frame: Extract<Frame, { readonly kind: 'differ' }>, from: GossipLink): void {
    const { store } = this.#options
    if (!frame.isReply && this.#catchingUp.has(from)) this.#differed.add(from)
    const missing = frame.buckets.flatMap((bucket) => store.missingIn(bucket))
    for (let start = 0; start < missing.length; start += MAX_ENTRIES) {
      from.send({ kind: 'entries', entries: missing.slice(start, start + MAX_ENTRIES) })
    }
    if (!frame.isReply) from.send({ kind: 'differ', buckets: frame.buckets.map(({ bucket }) => store.bucket(bucket)), isReply: true })
  }

  #ask (link: GossipLink): void {
    link.send({ kind: 'compare', hashes: this.#options.store.hashes() })
  }

  #sendAll (entries: readonly GossipEntry[], from?: GossipLink): void {
    for (const link of this.#options.links()) if (link !== from) link.send({ kind: 'entries', entries })
  }

  #fill (): void {
    const now = this.#options.clock.now()
    const perSecond = this.#options.isMesh() ? GOSSIP_BYTES_PER_SECOND : SPARSE_GOSSIP_BYTES_PER_SECOND
    const earned = (now - this.#filledAt) * perSecond / MILLIS_PER_SECOND
    this.#bytes = Math.min(GOSSIP_BURST_BYTES, this.#bytes + earned)
    this.#filledAt = now
  }
}

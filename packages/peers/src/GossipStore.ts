import { hash32, millis } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import { COMPARE_BUCKETS, GOSSIP_RETENTION, OUTBID_PERIOD } from './constants.js'
import type { BucketDigest, EntryDigest } from './frames.js'
import type { GossipEntry, Topic } from './types.js'

interface StoredEntry {
  readonly entry: GossipEntry
  readonly digest: EntryDigest
}

/** Topics that owners republish often: a lost entry is soon replaced, so store comparison skips them. */
const VOLATILE_TOPICS: ReadonlySet<Topic> = new Set<Topic>(['load'])

const nameOf = (entry: GossipEntry): string => `${entry.topic} ${entry.owner} ${entry.key}`

const epochOf = ({ epoch = 0 }: Pick<GossipEntry, 'epoch'>): number => epoch

const stateOf = (entry: GossipEntry): string =>
  `${entry.incarnation} ${entry.sequence}${entry.epoch === undefined ? '' : ` ${entry.epoch}`}`

const digestOf = (entry: GossipEntry): EntryDigest => [hash32(nameOf(entry)), hash32(stateOf(entry))]

const bucketOf = (digest: EntryDigest): number => digest[0] % COMPARE_BUCKETS

type Age = Pick<GossipEntry, 'epoch' | 'incarnation' | 'sequence'>

const isNewer = (entry: Age, other: Age): boolean => {
  if (epochOf(entry) !== epochOf(other)) return epochOf(entry) > epochOf(other)
  return entry.incarnation === other.incarnation ? entry.sequence > other.sequence : entry.incarnation > other.incarnation
}

export interface GossipStoreOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
}

/**
 * The newest entry of each owner and key, with hashes by which two stores are compared.
 *
 * @example
 * const store = new GossipStore({ self, incarnation, clock })
 * store.accept(entry) // true if it is new
 */
export class GossipStore {
  readonly #options: GossipStoreOptions
  readonly #entries = new Map<string, StoredEntry>()
  readonly #byTopic = new Map<Topic, Map<string, GossipEntry>>()
  readonly #byBucket = Array.from({ length: COMPARE_BUCKETS }, () => new Map<string, StoredEntry>())
  readonly #hashes = new Array<number>(COMPARE_BUCKETS).fill(0)
  readonly #receivedAt = new Map<InstanceId, Millis>()
  #sequence = 0
  #epoch = 0
  #lastOutbidAt: Millis | undefined

  constructor (options: GossipStoreOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#entries.size
  }

  /** Number of owners of which something is kept. */
  get ownerCount (): number {
    return this.#receivedAt.size
  }

  /** Creates and stores a new entry owned by this instance. */
  publish (topic: Topic, key: string, value: Json): GossipEntry {
    const { self, incarnation } = this.#options
    const epoch = this.#epoch === 0 ? {} : { epoch: this.#epoch }
    const entry: GossipEntry = { topic, key, owner: self, incarnation, sequence: ++this.#sequence, value, ...epoch }
    this.#set(entry)
    return entry
  }

  /** Stores an entry if it is newer than the stored one; false if not, or if it is of this instance's id but not of its past. */
  accept (entry: GossipEntry): boolean {
    const { self, clock } = this.#options
    if (entry.owner === self && this.#outranksOwn(entry)) return false
    const known = this.#entries.get(nameOf(entry))
    if (known !== undefined && !isNewer(entry, known.entry)) return false
    this.#receivedAt.set(entry.owner, clock.now())
    this.#set(entry)
    return true
  }

  /**
   * Publishes all own entries anew, so that they are newer than those of a predecessor under this id whose incarnation
   * compares greater; empty unless the entry is such a one. As with a refutation in SWIM, only the living process does so.
   */
  outbid (entry: GossipEntry): readonly GossipEntry[] {
    const { self, incarnation, clock } = this.#options
    if (entry.owner !== self || entry.incarnation === incarnation || !this.#outranksOwn(entry)) return []
    // Two processes that run under one id would outbid each other at the speed of the network.
    if (this.#lastOutbidAt !== undefined && clock.now() - this.#lastOutbidAt < OUTBID_PERIOD) return []
    this.#lastOutbidAt = clock.now()
    this.#epoch = epochOf(entry) + 1
    const own = this.all().filter((one) => one.owner === self && one.incarnation === incarnation)
    return own.map(({ topic, key, value }) => this.publish(topic, key, value))
  }

  entries (topic: Topic): readonly GossipEntry[] {
    return [...this.#byTopic.get(topic)?.values() ?? []]
  }

  all (): readonly GossipEntry[] {
    return [...this.#entries.values()].map((stored) => stored.entry)
  }

  /** One hash per bucket; equal stores have equal hashes. */
  hashes (): readonly number[] {
    return [...this.#hashes]
  }

  bucket (bucket: number): BucketDigest {
    return { bucket, items: this.#inBucket(bucket).map((stored) => stored.digest) }
  }

  /** Entries of a bucket that are missing from, or differ in, the store that `other` is the digest of. */
  missingIn (other: BucketDigest): readonly GossipEntry[] {
    const states = new Map(other.items)
    return this.#inBucket(other.bucket)
      .filter(({ digest: [name, state] }) => states.get(name) !== state)
      .map((stored) => stored.entry)
  }

  /** Deletes the entries of owners that are not alive and have sent nothing for `GOSSIP_RETENTION`. */
  expire (isAlive: (owner: InstanceId) => boolean): void {
    const { self, clock } = this.#options
    const now = clock.now()
    for (const { entry } of [...this.#entries.values()]) {
      if (entry.owner === self || isAlive(entry.owner)) {
        this.#receivedAt.set(entry.owner, now)
        continue
      }
      if (now - (this.#receivedAt.get(entry.owner) ?? millis(0)) >= GOSSIP_RETENTION) this.#delete(entry)
    }
    for (const [owner, at] of this.#receivedAt) if (now - at >= GOSSIP_RETENTION) this.#receivedAt.delete(owner)
  }

  #outranksOwn (entry: GossipEntry): boolean {
    return !isNewer({ epoch: this.#epoch, incarnation: this.#options.incarnation, sequence: 0 }, entry)
  }

  #inBucket (bucket: number): readonly StoredEntry[] {
    return [...this.#byBucket[bucket]?.values() ?? []]
  }

  #set (entry: GossipEntry): void {
    this.#delete(entry)
    const name = nameOf(entry)
    const stored = { entry, digest: digestOf(entry) }
    this.#entries.set(name, stored)
    const ofTopic = this.#byTopic.get(entry.topic) ?? new Map<string, GossipEntry>()
    this.#byTopic.set(entry.topic, ofTopic.set(name, entry))
    if (VOLATILE_TOPICS.has(entry.topic)) return
    this.#byBucket[bucketOf(stored.digest)]!.set(name, stored)
    this.#toggleHash(stored.digest)
  }

  #delete (entry: GossipEntry): void {
    const name = nameOf(entry)
    const known = this.#entries.get(name)
    if (known === undefined) return
    this.#entries.delete(name)
    this.#byTopic.get(entry.topic)?.delete(name)
    if (VOLATILE_TOPICS.has(entry.topic)) return
    this.#byBucket[bucketOf(known.digest)]!.delete(name)
    this.#toggleHash(known.digest)
  }

  /** Adds a digest to its bucket's hash, or removes it: the hash is the XOR of all digests. */
  #toggleHash (digest: EntryDigest): void {
    const bucket = bucketOf(digest)
    this.#hashes[bucket] = (this.#hashes[bucket]! ^ hash32(`${digest[0]} ${digest[1]}`)) >>> 0
  }
}

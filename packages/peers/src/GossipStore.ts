import { hash32, millis } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import { COMPARE_BUCKETS, GOSSIP_RETENTION } from './constants.js'
import type { BucketDigest, EntryDigest } from './frames.js'
import type { GossipEntry, Topic } from './types.js'

interface Stored {
  readonly entry: GossipEntry
  readonly digest: EntryDigest
}

/** Topics that owners publish again and again; a lost entry is soon replaced, so stores are not compared on them. */
const VOLATILE: ReadonlySet<Topic> = new Set<Topic>(['load'])

const nameOf = (entry: GossipEntry): string => `${entry.topic} ${entry.owner} ${entry.key}`

const digestOf = (entry: GossipEntry): EntryDigest =>
  [hash32(nameOf(entry)), hash32(`${entry.incarnation} ${entry.sequence}`)]

const bucketOf = (digest: EntryDigest): number => digest[0] % COMPARE_BUCKETS

const isNewer = (entry: GossipEntry, than: GossipEntry): boolean =>
  entry.incarnation === than.incarnation ? entry.sequence > than.sequence : entry.incarnation > than.incarnation

export interface GossipStoreOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
}

/**
 * The newest published entry of each owner and key, and short hashes to compare two stores by.
 *
 * @example
 * const store = new GossipStore({ self, incarnation, clock })
 * store.accept(entry) // true where it is new here
 */
export class GossipStore {
  readonly #options: GossipStoreOptions
  readonly #entries = new Map<string, Stored>()
  readonly #byTopic = new Map<Topic, Map<string, GossipEntry>>()
  readonly #byBucket = Array.from({ length: COMPARE_BUCKETS }, () => new Map<string, Stored>())
  readonly #hashes = new Array<number>(COMPARE_BUCKETS).fill(0)
  readonly #heardAt = new Map<InstanceId, Millis>()
  #sequence = 0

  constructor (options: GossipStoreOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#entries.size
  }

  /** Makes a new entry of this instance. */
  publish (topic: Topic, key: string, value: Json): GossipEntry {
    const { self, incarnation } = this.#options
    const entry: GossipEntry = { topic, key, owner: self, incarnation, sequence: ++this.#sequence, value }
    this.#set(entry)
    return entry
  }

  /** Takes an entry over; false where it is not newer than what is here, or a false one of this instance's own life. */
  accept (entry: GossipEntry): boolean {
    const { self, incarnation, clock } = this.#options
    if (entry.owner === self && entry.incarnation >= incarnation) return false
    const known = this.#entries.get(nameOf(entry))
    if (known !== undefined && !isNewer(entry, known.entry)) return false
    this.#heardAt.set(entry.owner, clock.now())
    this.#set(entry)
    return true
  }

  entries (topic: Topic): readonly GossipEntry[] {
    return [...this.#byTopic.get(topic)?.values() ?? []]
  }

  all (): readonly GossipEntry[] {
    return [...this.#entries.values()].map((stored) => stored.entry)
  }

  /** One hash for each bucket; equal stores have equal hashes. */
  hashes (): readonly number[] {
    return [...this.#hashes]
  }

  bucket (bucket: number): BucketDigest {
    return { bucket, items: this.#inBucket(bucket).map((stored) => stored.digest) }
  }

  /** Entries of a bucket that another store, by its digest, lacks or has in another state. */
  missingIn (other: BucketDigest): readonly GossipEntry[] {
    const states = new Map(other.items)
    return this.#inBucket(other.bucket)
      .filter(({ digest: [name, state] }) => states.get(name) !== state)
      .map((stored) => stored.entry)
  }

  /** Forgets the entries of owners that are not alive and have been silent for the retention time. */
  expire (isAlive: (owner: InstanceId) => boolean): void {
    const { self, clock } = this.#options
    const now = clock.now()
    for (const { entry } of [...this.#entries.values()]) {
      if (entry.owner === self || isAlive(entry.owner)) {
        this.#heardAt.set(entry.owner, now)
        continue
      }
      if (now - (this.#heardAt.get(entry.owner) ?? millis(0)) >= GOSSIP_RETENTION) this.#delete(entry)
    }
  }

  #inBucket (bucket: number): readonly Stored[] {
    return [...this.#byBucket[bucket]?.values() ?? []]
  }

  #set (entry: GossipEntry): void {
    this.#delete(entry)
    const name = nameOf(entry)
    const stored = { entry, digest: digestOf(entry) }
    this.#entries.set(name, stored)
    const ofTopic = this.#byTopic.get(entry.topic) ?? new Map<string, GossipEntry>()
    this.#byTopic.set(entry.topic, ofTopic.set(name, entry))
    if (VOLATILE.has(entry.topic)) return
    this.#byBucket[bucketOf(stored.digest)]!.set(name, stored)
    this.#toggle(stored.digest)
  }

  #delete (entry: GossipEntry): void {
    const name = nameOf(entry)
    const known = this.#entries.get(name)
    if (known === undefined) return
    this.#entries.delete(name)
    this.#byTopic.get(entry.topic)?.delete(name)
    if (VOLATILE.has(entry.topic)) return
    this.#byBucket[bucketOf(known.digest)]!.delete(name)
    this.#toggle(known.digest)
  }

  /** Adds a digest to its bucket's hash, or takes it out again. */
  #toggle (digest: EntryDigest): void {
    const bucket = bucketOf(digest)
    this.#hashes[bucket] = (this.#hashes[bucket]! ^ hash32(`${digest[0]} ${digest[1]}`)) >>> 0
  }
}

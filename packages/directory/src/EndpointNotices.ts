import { brand, isJsonObject, millis } from '@papayahill/common'
import type { Clock, EndpointId, Json } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { EndpointAnnouncement, EndpointDirectory } from './EndpointDirectory.js'
import { decodeLimitNotice } from './NamedLimit.js'

/** Notices that an instance publishes at a time; a new one replaces the oldest of another endpoint. */
const MAX_PUBLISHED = 64

/** Least time between two notices of one endpoint's limit: one that changes with each answer must not flood the links. */
const MIN_LIMIT_NOTICE_PERIOD = millis(500)

export interface EndpointNoticesOptions {
  readonly clock: Clock
  readonly directory: EndpointDirectory
  readonly peers: Pick<Peers, 'self' | 'publish' | 'onEntry'>
}

/** Messages by announcement. The fields of the two differ, because earlier versions take any `endpoint` for one that leaves. */
const ENCODERS: {
  readonly [Kind in EndpointAnnouncement['kind']]: (announcement: Extract<EndpointAnnouncement, { kind: Kind }>) => Json
} = {
  leaving: ({ endpoint, incarnation }) => ({ endpoint, life: incarnation }),
  limit: ({ endpoint, incarnation, notice: { perSecond, version } }) => ({ limited: endpoint, life: incarnation, perSecond, version })
}

/** Decodes a message; undefined if it is malformed. */
const decodeAnnouncement = (value: Json): EndpointAnnouncement | undefined => {
  if (!isJsonObject(value)) return undefined
  const { endpoint, limited, life: incarnation } = value
  if (typeof incarnation !== 'string') return undefined
  if (typeof endpoint === 'string') return { kind: 'leaving', endpoint: brand<EndpointId>(endpoint), incarnation }
  const notice = decodeLimitNotice(value)
  if (typeof limited !== 'string' || notice === undefined) return undefined
  return { kind: 'limit', endpoint: brand<EndpointId>(limited), incarnation, notice }
}

/**
 * Tells the other instances what endpoints announced to this one, and receives what they tell. This is an optimization:
 * without it, each instance learns the same from the endpoint's next answer.
 *
 * @example
 * new EndpointNotices({ clock, directory, peers }).listen()
 */
export class EndpointNotices {
  readonly #options: EndpointNoticesOptions
  /** The published key of each announcement, oldest first. */
  readonly #keys = new Map<string, string>()
  /** Endpoints whose limit was published lately, with what has changed since. */
  readonly #pendingLimits = new Map<EndpointId, EndpointAnnouncement | undefined>()

  constructor (options: EndpointNoticesOptions) {
    this.#options = options
  }

  /** Starts to publish and to receive notices. */
  listen (): void {
    const { directory, peers } = this.#options
    directory.onAnnouncement((announcement) => {
      if (announcement.kind === 'limit') this.#publishLimit(announcement)
      else this.#publish(announcement)
    })
    peers.onEntry('endpoint', ({ owner, value }) => {
      const announcement = owner === peers.self ? undefined : decodeAnnouncement(value)
      if (announcement !== undefined) directory.receiveAnnouncement(announcement)
    })
  }

  /** Publishes a limit at once, or the latest one when the period since the last notice is over. */
  #publishLimit (announcement: EndpointAnnouncement): void {
    const { endpoint } = announcement
    if (this.#pendingLimits.has(endpoint)) {
      this.#pendingLimits.set(endpoint, announcement)
      return
    }
    this.#publish(announcement)
    this.#pendingLimits.set(endpoint, undefined)
    this.#options.clock.after(MIN_LIMIT_NOTICE_PERIOD, () => {
      const latest = this.#pendingLimits.get(endpoint)
      this.#pendingLimits.delete(endpoint)
      if (latest !== undefined) this.#publishLimit(latest)
    })
  }

  #publish (announcement: EndpointAnnouncement): void {
    const value = announcement.kind === 'leaving' ? ENCODERS.leaving(announcement) : ENCODERS.limit(announcement)
    this.#options.peers.publish('endpoint', this.#keyOf(`${announcement.kind} ${announcement.endpoint}`), value)
  }

  /** The key of an endpoint's previous announcement, else a free one, else that of the oldest. */
  #keyOf (name: string): string {
    const oldest = this.#keys.size < MAX_PUBLISHED ? undefined : this.#keys.keys().next().value
    const key = this.#keys.get(name) ?? (oldest === undefined ? String(this.#keys.size) : this.#keys.get(oldest)!)
    if (!this.#keys.has(name) && oldest !== undefined) this.#keys.delete(oldest)
    this.#keys.delete(name)
    this.#keys.set(name, key)
    return key
  }
}

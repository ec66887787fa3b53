import { brand, isJsonObject, millis } from '@papayahill/common'
import type { Clock, EndpointId, Json } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { EndpointAnnouncement, EndpointDirectory, LimitKind } from './EndpointDirectory.js'
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

type LimitAnnouncement = Extract<EndpointAnnouncement, { kind: LimitKind }>

/** Fields that name the endpoint. They differ, because earlier versions take any `endpoint` for one that leaves. */
const LIMIT_FIELDS: Readonly<Record<LimitKind, string>> = { limit: 'limited', rejectionLimit: 'brittle' }
const LIMIT_KINDS = Object.keys(LIMIT_FIELDS) as readonly LimitKind[]

const encodeAnnouncement = (announcement: EndpointAnnouncement): Json => {
  const { endpoint, incarnation } = announcement
  if (announcement.kind === 'leaving') return { endpoint, life: incarnation }
  const { perSecond, version } = announcement.notice
  return { [LIMIT_FIELDS[announcement.kind]]: endpoint, life: incarnation, perSecond, version }
}

const nameOf = ({ kind, endpoint }: EndpointAnnouncement): string => `${kind} ${endpoint}`

/** Decodes a message; undefined if it is malformed. */
const decodeAnnouncement = (value: Json): EndpointAnnouncement | undefined => {
  if (!isJsonObject(value)) return undefined
  const { endpoint, life: incarnation } = value
  if (typeof incarnation !== 'string') return undefined
  if (typeof endpoint === 'string') return { kind: 'leaving', endpoint: brand<EndpointId>(endpoint), incarnation }
  const notice = decodeLimitNotice(value)
  const kind = LIMIT_KINDS.find((each) => typeof value[LIMIT_FIELDS[each]] === 'string')
  if (kind === undefined || notice === undefined) return undefined
  return { kind, endpoint: brand<EndpointId>(value[LIMIT_FIELDS[kind]] as string), incarnation, notice }
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
  readonly #pendingLimits = new Map<string, LimitAnnouncement | undefined>()

  constructor (options: EndpointNoticesOptions) {
    this.#options = options
  }

  /** Starts to publish and to receive notices. */
  listen (): void {
    const { directory, peers } = this.#options
    directory.onAnnouncement((announcement) => {
      if (announcement.kind === 'leaving') this.#publish(announcement)
      else this.#publishLimit(announcement)
    })
    peers.onEntry('endpoint', ({ owner, value }) => {
      const announcement = owner === peers.self ? undefined : decodeAnnouncement(value)
      if (announcement !== undefined) directory.receiveAnnouncement(announcement)
    })
  }

  /** Publishes a limit at once, or the latest one when the period since the last notice is over. */
  #publishLimit (announcement: LimitAnnouncement): void {
    const name = nameOf(announcement)
    if (this.#pendingLimits.has(name)) {
      this.#pendingLimits.set(name, announcement)
      return
    }
    this.#publish(announcement)
    this.#pendingLimits.set(name, undefined)
    this.#options.clock.after(MIN_LIMIT_NOTICE_PERIOD, () => {
      const latest = this.#pendingLimits.get(name)
      this.#pendingLimits.delete(name)
      if (latest !== undefined) this.#publishLimit(latest)
    })
  }

  #publish (announcement: EndpointAnnouncement): void {
    this.#options.peers.publish('endpoint', this.#keyOf(nameOf(announcement)), encodeAnnouncement(announcement))
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

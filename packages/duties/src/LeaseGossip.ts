import type { Incarnation, InstanceId, Json } from '@papayahill/common'
import { silentHeartbeats } from '@papayahill/peers'
import type { GossipEntry, Peers } from '@papayahill/peers'
import { rankCandidates } from './candidates.js'
import { LEASE_KEY, MAX_SILENT_HEARTBEATS, TOLD_CANDIDATES } from './constants.js'
import { encodeDatedLease, parseDatedLease } from './leaseRecord.js'
import type { DatedLease } from './leaseRecord.js'
import type { LeaseView } from './LeaseView.js'
import type { LeaseHolder } from './types.js'

export interface LeaseGossipOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly peers: Pick<Peers, 'members' | 'neighbours' | 'publish' | 'entries' | 'onEntry' | 'send' | 'handle'>
  /** Cores of this instance. */
  readonly capacity?: number
  readonly view: LeaseView
}

/** Tells other instances of the lease and hears of it from them, and ranks the candidates among the live members. */
export class LeaseGossip {
  readonly #options: LeaseGossipOptions

  constructor (options: LeaseGossipOptions) {
    this.#options = options
  }

  /** Place of this instance among the candidates; 0 is the first. */
  get rank (): number {
    return Math.max(0, this.ranked().indexOf(this.#options.self))
  }

  /** Calls the listener for each lease that is newer than what this instance knew of. */
  start (onNewer: (lease: DatedLease) => void): void {
    const { peers, view } = this.#options
    const hear = (value: Json, sender: LeaseHolder): void => {
      const lease = parseDatedLease(value, sender)
      if (lease !== undefined && view.hear(lease)) onNewer(lease)
    }
    const hearEntry = ({ key, value, owner: id, incarnation }: GossipEntry): void => {
      if (key === LEASE_KEY) hear(value, { id, incarnation })
    }
    peers.onEntry('duty', hearEntry)
    peers.handle('duty', (id, value, incarnation) => {
      hear(value, { id, incarnation })
      return null
    })
    for (const entry of peers.entries('duty')) hearEntry(entry)
  }

  /** Publishes what this instance knows of the lease. */
  publish (): void {
    const { peers, incarnation, view: { seen } } = this.#options
    if (seen !== undefined) peers.publish('duty', LEASE_KEY, encodeDatedLease(seen, incarnation))
  }

  /**
   * Publishes a renewal. Where gossip is passed on by chance, one renewal in five misses an instance, so that the first
   * candidates, whose wait is the shortest, are told directly as well.
   */
  publishRenewal (): void {
    const { peers } = this.#options
    if (peers.neighbours().length < peers.members().length) this.tell()
    else this.publish()
  }

  /** Publishes a change of the holder, and tells the next candidates directly. */
  tell (): void {
    this.publish()
    const { peers, self, incarnation, view: { seen } } = this.#options
    if (seen === undefined) return
    const others = this.ranked().filter((id) => id !== self)
    for (const id of others.slice(0, TOLD_CANDIDATES)) peers.send(id, 'duty', encodeDatedLease(seen, incarnation))
  }

  /** Candidates in order; another instance that released the lease or let it expire is none. */
  ranked (): readonly InstanceId[] {
    const { self, peers, capacity = 1, view } = this.#options
    const last = view.seen?.record.holder
    const others = peers.members()
      .filter((member) => member.id !== self && member.id !== last && silentHeartbeats(member) < MAX_SILENT_HEARTBEATS)
      .map(({ id, capacity: theirs = 1 }) => ({ id, capacity: theirs }))
    return rankCandidates([{ id: self, capacity }, ...others]).map(({ id }) => id)
  }
}

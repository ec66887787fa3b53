import { byRendezvous, capableFirst, millis } from '@papayahill/common'
import type { Clock, DomainId, Incarnation, Millis } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { MAX_RECEIVER_SILENCE, MIN_RECEIVER_CAPACITY, MIN_RECEIVERS, SUSPICION_PERIOD } from './constants.js'
import type { HolderView, Reporter } from './types.js'

/** An instance that can receive reports. */
interface Candidate extends Reporter {
  readonly domain: DomainId
  readonly capacity: number
}

export interface ReportReceiversOptions {
  readonly clock: Clock
  readonly peers: Pick<Peers, 'self' | 'incarnation' | 'members'>
  readonly domain: DomainId
  /** CPU share of this instance, in cores; 1 by default. */
  readonly capacity?: number
  readonly holder: HolderView
}

const RENDEZVOUS_NAME = 'report'

/** Candidates in rendezvous order, those with enough capacity first. */
const inOrder = (candidates: readonly Candidate[]): readonly Candidate[] =>
  capableFirst(byRendezvous(RENDEZVOUS_NAME, candidates, ({ id }) => id), { share: MIN_RECEIVER_CAPACITY, least: MIN_RECEIVERS })

/**
 * Chooses the instances that receive the reports: the holder of the duties, and a backup in another failure domain, so that the
 * loss of a domain leaves one of them. All instances with the same view choose the same ones.
 *
 * @example
 * receivers.current() // [holder, backup]
 */
export class ReportReceivers {
  readonly #options: ReportReceiversOptions
  readonly #suspectedUntil = new Map<Incarnation, Millis>()

  constructor (options: ReportReceiversOptions) {
    this.#options = options
  }

  /** The holder and the backup; the first two in order while no holder is known. */
  current (): readonly Reporter[] {
    const ordered = this.#ordered()
    const { holder } = this.#options.holder
    const first = ordered.find(({ incarnation }) => incarnation === holder?.incarnation) ?? ordered[0]
    if (first === undefined) return []
    const others = ordered.filter((candidate) => candidate !== first)
    const backup = others.find(({ domain }) => domain !== first.domain) ?? others[0]
    return backup === undefined ? [first] : [first, backup]
  }

  /** All instances that may have received reports, in order and without this one. */
  others (): readonly Reporter[] {
    const { incarnation: own } = this.#options.peers
    return this.#ordered().filter(({ incarnation }) => incarnation !== own)
  }

  /** Excludes an instance for a while, since it did not confirm a report. */
  suspect (incarnation: Incarnation): void {
    this.#suspectedUntil.set(incarnation, millis(this.#options.clock.now() + SUSPICION_PERIOD))
  }

  /** Number of instances, this one included. */
  get instances (): number {
    return this.#options.peers.members().length + 1
  }

  #ordered (): readonly Candidate[] {
    const { clock, peers, domain, capacity = 1 } = this.#options
    const now = clock.now()
    for (const [suspect, until] of this.#suspectedUntil) if (until <= now) this.#suspectedUntil.delete(suspect)
    const others = peers.members()
      .filter((member) => member.silence < MAX_RECEIVER_SILENCE && !this.#suspectedUntil.has(member.incarnation))
      .map((member): Candidate => ({ ...member, capacity: member.capacity ?? 1 }))
    return inOrder([...others, { id: peers.self, incarnation: peers.incarnation, domain, capacity }])
  }
}

import type { Clock, Incarnation, InstanceId, ServiceId } from '@papayahill/common'
import type { GossipEntry, PeerMember, Peers } from '@papayahill/peers'
import { MAX_TOLD_SERVICES, MIN_TELL_PERIOD } from './constants.js'

export interface PeerReachOptions {
  readonly clock: Clock
  readonly peers: Pick<Peers, 'self' | 'members' | 'publish' | 'entries' | 'onEntry'>
  /** Called when a peer has told something else than before. */
  readonly onChange: () => void
}

/** What a peer has told of the services that it does not reach. */
interface Told {
  readonly incarnation: Incarnation
  readonly unreached: ReadonlySet<string>
}

const KEY = 'own'

/**
 * Tells the peers which services this instance does not reach, and keeps what they tell.
 *
 * @example
 * peerReach.tell(['orders'])
 * peerReach.isReachedBy(peer, 'orders')
 */
export class PeerReach {
  readonly #options: PeerReachOptions
  readonly #told = new Map<InstanceId, Told>()
  #published = ''
  #pending: readonly ServiceId[] | undefined
  #isPaused = false

  constructor (options: PeerReachOptions) {
    this.#options = options
    const { peers } = options
    for (const entry of peers.entries('reach')) this.#receive(entry)
    peers.onEntry('reach', (entry) => this.#receive(entry))
  }

  /** Tells the peers the services that are not reached, if they differ from those told before. */
  tell (unreached: Iterable<ServiceId>): void {
    this.#pending = [...unreached].sort().slice(0, MAX_TOLD_SERVICES)
    if (!this.#isPaused) this.#publish()
  }

  /** False if the incarnation of the peer that is considered alive has told that it reaches no endpoint of the service. */
  isReachedBy (instance: InstanceId, service: ServiceId): boolean {
    const member = this.#options.peers.members().find(({ id }) => id === instance)
    return member === undefined || this.#isReachedBy(member, service)
  }

  /** Peers that are considered alive and have not told that they reach no endpoint of the service. */
  peersReaching (service: ServiceId): readonly PeerMember[] {
    return this.#options.peers.members().filter((member) => this.#isReachedBy(member, service))
  }

  #isReachedBy ({ id, incarnation }: PeerMember, service: ServiceId): boolean {
    const told = this.#told.get(id)
    return told?.incarnation !== incarnation || !told.unreached.has(service)
  }

  #publish (): void {
    const { clock, peers } = this.#options
    const services = this.#pending
    this.#pending = undefined
    const text = services?.join('\n') ?? this.#published
    if (services === undefined || text === this.#published) return
    this.#published = text
    peers.publish('reach', KEY, services)
    this.#isPaused = true
    clock.after(MIN_TELL_PERIOD, () => {
      this.#isPaused = false
      this.#publish()
    })
  }

  #receive ({ key, owner, incarnation, value }: GossipEntry): void {
    if (key !== KEY || owner === this.#options.peers.self || !Array.isArray(value)) return
    const unreached = new Set(value.slice(0, MAX_TOLD_SERVICES).filter((service) => typeof service === 'string'))
    this.#told.set(owner, { incarnation, unreached })
    this.#options.onChange()
  }
}

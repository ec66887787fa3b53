import { brand, isJsonObject } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId, Json } from '@papayahill/common'
import type { GossipStore } from './GossipStore.js'
import type { PeerAddress, PeerIdentity } from './transport.js'
import type { GossipEntry } from './types.js'

const MEMBER_KEY = 'member'
const DOWN_PREFIX = 'down/'

/** An instance's published record of itself. */
export interface MemberRecord extends PeerIdentity {
  /** Incremented each time the instance refutes a report that it is lost. */
  readonly proof: number
  readonly isLeaving: boolean
  /** CPU share available to the instance, in cores. */
  readonly capacity: number
}

const DEFAULT_CAPACITY = 1

/** Reads an instance's own record from a gossip entry; undefined for any other entry. */
export const readMember = (entry: GossipEntry): MemberRecord | undefined => {
  const { value } = entry
  if (entry.key !== MEMBER_KEY || !isJsonObject(value)) return undefined
  const { domain, ip, port, proof, isLeaving, capacity } = value
  if (typeof domain !== 'string' || typeof ip !== 'string' || typeof port !== 'number') return undefined
  return {
    id: entry.owner,
    incarnation: entry.incarnation,
    domain: brand<DomainId>(domain),
    address: { ip, port },
    proof: typeof proof === 'number' ? proof : 0,
    isLeaving: isLeaving === true,
    capacity: typeof capacity === 'number' && capacity > 0 ? capacity : DEFAULT_CAPACITY
  }
}

export interface MemberTableOptions {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  readonly domain: DomainId
  readonly capacity?: number | undefined
  readonly store: GossipStore
  readonly publish: (key: string, value: Json) => void
}

/**
 * Membership by gossip, as in SWIM: each instance publishes its own record, peers that lose their link to it
 * publish that it is down, and an instance that is still alive refutes this with a higher proof number.
 */
export class MemberTable {
  readonly #options: MemberTableOptions
  /** The newest record of each instance. */
  readonly #records = new Map<InstanceId, MemberRecord>()
  /** For each incarnation reported lost, the highest proof number that the reports cover. */
  readonly #lostProofs = new Map<Incarnation, number>()
  #address: PeerAddress | undefined
  #proof = 0

  constructor (options: MemberTableOptions) {
    this.#options = options
  }

  announce (address: PeerAddress): void {
    this.#address = address
    this.#publishSelf(false)
  }

  leave (): void {
    this.#publishSelf(true)
  }

  /** Publishes that the link to this incarnation was lost. */
  reportLost (peer: PeerIdentity): void {
    const member = this.all().find((one) => one.incarnation === peer.incarnation)
    if (member === undefined || member.isLeaving || this.#isDown(member)) return
    this.#options.publish(`${DOWN_PREFIX}${peer.id}`, { life: peer.incarnation, proof: member.proof })
  }

  /** Applies an entry; refutes it if it reports this instance as down. */
  receive (entry: GossipEntry): void {
    const { id, incarnation } = this.#options
    this.#apply(entry)
    if (entry.key !== `${DOWN_PREFIX}${id}` || !isJsonObject(entry.value)) return
    const { life: lostIncarnation, proof } = entry.value
    if (lostIncarnation !== incarnation || typeof proof !== 'number' || proof < this.#proof) return
    this.#proof = proof + 1
    this.#publishSelf(false)
  }

  all (): readonly MemberRecord[] {
    return [...this.#records.values()]
  }

  get (id: InstanceId): MemberRecord | undefined {
    return this.#records.get(id)
  }

  /** Rebuilds the table from the store, whose entries expire. */
  refresh (): void {
    this.#records.clear()
    this.#lostProofs.clear()
    for (const entry of this.#options.store.entries('heartbeat')) this.#apply(entry)
  }

  /** Other instances that are alive according to gossip. */
  alive (): readonly MemberRecord[] {
    return this.all().filter((member) => member.id !== this.#options.id && !member.isLeaving && !this.#isDown(member))
  }

  #isDown (member: MemberRecord): boolean {
    return (this.#lostProofs.get(member.incarnation) ?? -1) >= member.proof
  }

  #apply (entry: GossipEntry): void {
    const member = readMember(entry)
    if (member !== undefined) this.#records.set(member.id, member)
    const { key, value } = entry
    if (!key.startsWith(DOWN_PREFIX) || !isJsonObject(value)) return
    const { life: lostIncarnation, proof } = value
    if (typeof lostIncarnation !== 'string' || typeof proof !== 'number') return
    const incarnation = brand<Incarnation>(lostIncarnation)
    this.#lostProofs.set(incarnation, Math.max(proof, this.#lostProofs.get(incarnation) ?? -1))
  }

  #publishSelf (isLeaving: boolean): void {
    if (this.#address === undefined) return
    const { ip, port } = this.#address
    const { domain, capacity = DEFAULT_CAPACITY } = this.#options
    this.#options.publish(MEMBER_KEY, { domain, ip, port, proof: this.#proof, isLeaving, capacity })
  }
}

import { firstByRendezvous, millis } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Millis } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { DOUBT_SPAN, GATHERER_SILENCE } from './constants.js'

/**
 * Tells which instance gathers for a group of endpoints: rendezvous order over those that are heard. Two that think
 * so at once cost fuller batches and break nothing.
 *
 * @example
 * roster.gathererOf(group) === self
 */
export class GathererRoster {
  readonly #clock: Clock
  readonly #peers: Pick<Peers, 'self' | 'members'>
  readonly #doubtedUntil = new Map<InstanceId, Millis>()
  /** Lives of instances that said that they stop. */
  readonly #leaving = new Set<Incarnation>()
  #isLeaving = false

  constructor (clock: Clock, peers: Pick<Peers, 'self' | 'members'>) {
    this.#clock = clock
    this.#peers = peers
  }

  /** This instance stops and gathers no more while another is there. */
  leave (): void {
    this.#isLeaving = true
  }

  /** Whether this instance hands what it would gather to others. */
  get isLeaving (): boolean {
    return this.#isLeaving && this.#others().length > 0
  }

  /** The instance did not take an order in time. */
  doubt (id: InstanceId): void {
    this.#doubtedUntil.set(id, millis(this.#clock.now() + DOUBT_SPAN))
  }

  /** The instance said that it stops; its next life gathers again. */
  leaves (id: InstanceId): void {
    const member = this.#peers.members().find((known) => known.id === id)
    if (member !== undefined) this.#leaving.add(member.incarnation)
  }

  /** Number of instances that are heard, this one among them. */
  get size (): number {
    return 1 + this.#others().length
  }

  /** Whether an instance was heard of late. */
  isHeard (id: InstanceId): boolean {
    return this.#peers.members().some((member) => member.id === id && member.silence < GATHERER_SILENCE)
  }

  gathererOf (group: string): InstanceId {
    const others = this.#others()
    const handsOver = this.#isLeaving && others.length > 0
    const candidates = handsOver ? others : [...others, this.#peers.self]
    return firstByRendezvous(group, candidates, (id) => id) ?? this.#peers.self
  }

  #others (): readonly InstanceId[] {
    const now = this.#clock.now()
    const heard = this.#peers.members().filter(({ silence, incarnation }) =>
      silence < GATHERER_SILENCE && !this.#leaving.has(incarnation))
    return heard.map(({ id }) => id).filter((id) => (this.#doubtedUntil.get(id) ?? 0) <= now)
  }
}

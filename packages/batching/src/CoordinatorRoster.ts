import { capableOf, firstByRendezvous, millis } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Millis, ServiceId } from '@papayahill/common'
import { silentHeartbeats } from '@papayahill/peers'
import type { PeerMember, Peers } from '@papayahill/peers'
import type { Reach } from '@papayahill/reach'
import { MAX_LEAVING_INCARNATIONS, MAX_SILENT_HEARTBEATS, MIN_COORDINATOR_CAPACITY, MIN_COORDINATORS, SUSPICION_PERIOD } from './constants.js'
import { serviceOf } from './endpointGroups.js'
import { EvenShares } from './EvenShares.js'
import type { GroupId, OrderSender } from './types.js'

/** Which instances reach the endpoints of a service, as far as they have told; `version` changes with the answers. */
export interface RosterReach extends Pick<Reach, 'reaches' | 'isReachedBy'> {
  readonly version: number
}

/** All instances reach all endpoints. */
const FULL_REACH: RosterReach = { version: 0, reaches: () => true, isReachedBy: () => true }

/** An instance that can coordinate batches. */
interface CoordinatorCandidate {
  readonly id: InstanceId
  readonly capacity: number
}

/** Excludes a name for the suspicion period, and drops those whose period is over: the first ones, since all periods are equal. */
const exclude = <Name extends string>(until: Map<Name, Millis>, name: Name, now: Millis): void => {
  until.delete(name)
  until.set(name, millis(now + SUSPICION_PERIOD))
  for (const [first, end] of until) {
    if (end > now) return
    until.delete(first)
  }
}

const isSilent = (member: PeerMember): boolean => silentHeartbeats(member) >= MAX_SILENT_HEARTBEATS

const CAPABLE = { share: MIN_COORDINATOR_CAPACITY, least: MIN_COORDINATORS }

export interface CoordinatorRosterOptions {
  readonly clock: Clock
  readonly peers: Pick<Peers, 'self' | 'members'>
  /** Capacity of this instance, in cores. */
  readonly capacity?: number
  /** All instances reach all endpoints if absent. */
  readonly reach?: RosterReach
  /** The groups that are shared out evenly; each group is placed by itself if absent. */
  readonly groups?: () => readonly GroupId[]
}

/**
 * Finds the instance that coordinates batches for a group of endpoints: groups are shared out evenly among the strong instances,
 * and a group whose instance is excluded goes to a reachable one with the fewest groups that reaches the endpoints itself. If two
 * instances coordinate one group at the same time, nothing breaks, but their calls queue behind each other at the endpoints: one
 * that is only slow is not replaced.
 *
 * @example
 * roster.coordinatorOf(group) === self
 */
export class CoordinatorRoster {
  readonly #clock: Clock
  readonly #peers: Pick<Peers, 'self' | 'members'>
  readonly #capacity: number
  readonly #reach: RosterReach
  readonly #groups: () => readonly GroupId[]
  readonly #suspectedUntil = new Map<InstanceId, Millis>()
  /** Incarnations that have refused orders for endpoints that they do not reach, by service. */
  readonly #unreachedUntil = new Map<string, Millis>()
  /** Incarnations of instances that announced that they stop. */
  readonly #leavingIncarnations = new Set<Incarnation>()
  /** Cache of coordinators by group; valid for `#cachedMembers` and `#cachedReach`. */
  readonly #coordinators = new Map<string, InstanceId>()
  /** The member list is replaced on each change. */
  #cachedMembers: readonly PeerMember[] | undefined
  #cachedReach = 0
  /**
   * The even shares of all known instances, whether or not this one excludes them: an exclusion that only this instance knows of
   * must move no group but those of the excluded one.
   */
  readonly #shares = new EvenShares<GroupId, InstanceId>()
  /** Whether the shares were checked against the current members. */
  #areSharesCurrent = false
  #isLeaving = false

  constructor ({ clock, peers, capacity = 1, reach = FULL_REACH, groups = () => [] }: CoordinatorRosterOptions) {
    this.#clock = clock
    this.#peers = peers
    this.#capacity = capacity
    this.#reach = reach
    this.#groups = groups
  }

  /** This instance is stopping and coordinates no groups while another instance is reachable. */
  leave (): void {
    this.#isLeaving = true
    this.#coordinators.clear()
  }

  /** Whether this instance leaves its groups to others. */
  get isLeaving (): boolean {
    return this.#isLeaving && this.#reachablePeers().length > 0
  }

  /** Number of exclusions that are kept. */
  get exclusionCount (): number {
    return this.#suspectedUntil.size + this.#unreachedUntil.size + this.#leavingIncarnations.size
  }

  /** Excludes an instance for the suspicion period, since it cannot be reached or has sent nothing since it was given an order. */
  suspect (id: InstanceId): void {
    exclude(this.#suspectedUntil, id, this.#clock.now())
    this.#coordinators.clear()
  }

  /** Excludes an incarnation that announced that it stops; the next one under its id is a candidate again. */
  markLeaving (incarnation: Incarnation): void {
    this.#leavingIncarnations.add(incarnation)
    const [oldest] = this.#leavingIncarnations
    if (this.#leavingIncarnations.size > MAX_LEAVING_INCARNATIONS) this.#leavingIncarnations.delete(oldest!)
    this.#coordinators.clear()
  }

  /** Excludes an incarnation from the groups of a service until it has had time to tell that it does not reach them. */
  markUnreached (incarnation: Incarnation, group: string): void {
    exclude(this.#unreachedUntil, `${incarnation} ${serviceOf(group)}`, this.#clock.now())
    this.#coordinators.clear()
  }

  /** Whether this instance leaves the group to another one, since it does not reach the group's endpoints itself. */
  mustLeave (group: string): boolean {
    return !this.#reach.reaches(serviceOf(group)) && this.coordinatorOf(group) !== this.#peers.self
  }

  /** The incarnation under which an instance is reachable; undefined if it is not. */
  incarnationOf (id: InstanceId): Incarnation | undefined {
    return this.#memberOf(id)?.incarnation
  }

  /** Whether a newer process runs under the id of this one, which has ended then; gossip may also name an older one for a while. */
  hasRestarted ({ id, incarnation }: OrderSender): boolean {
    const known = this.incarnationOf(id)
    return known !== undefined && known > incarnation
  }

  /** Whether an instance has sent anything recently. */
  isPresent (id: InstanceId): boolean {
    const member = this.#memberOf(id)
    return member !== undefined && !isSilent(member)
  }

  /** Time since an instance has sent anything; undefined if it is not reachable. */
  silenceOf (id: InstanceId): Millis | undefined {
    return this.#memberOf(id)?.silence
  }

  #memberOf (id: InstanceId): PeerMember | undefined {
    return this.#peers.members().find((member) => member.id === id)
  }

  /** The instance that coordinates a group of endpoints. */
  coordinatorOf (group: string): InstanceId {
    const members = this.#peers.members()
    const { version } = this.#reach
    if (members !== this.#cachedMembers || version !== this.#cachedReach) this.#coordinators.clear()
    if (members !== this.#cachedMembers) this.#areSharesCurrent = false
    this.#cachedMembers = members
    this.#cachedReach = version
    const known = this.#coordinators.get(group)
    if (known !== undefined) return known
    const found = this.#findCoordinator(group)
    this.#coordinators.set(group, found)
    return found
  }

  #findCoordinator (group: string): InstanceId {
    const others = this.#reachablePeers()
    const isHandingOver = this.#isLeaving && others.length > 0
    const candidates = isHandingOver ? others : [...others, { id: this.#peers.self, capacity: this.#capacity }]
    const reaching = candidates.filter(({ id }) => this.#isReachedBy(id, serviceOf(group)))
    const strong = capableOf(reaching.length > 0 ? reaching : candidates, CAPABLE)
    if (!this.#areSharesCurrent) this.#updateShares()
    const shared = this.#shares.ownerOf(group)
    if (shared !== undefined && strong.some(({ id }) => id === shared)) return shared
    const groupsOf = ({ id }: CoordinatorCandidate): number => shared === undefined ? 0 : this.#shares.countOf(id)
    const fewest = Math.min(...strong.map(groupsOf))
    return firstByRendezvous(group, strong.filter((each) => groupsOf(each) === fewest), ({ id }) => id)?.id ?? this.#peers.self
  }

  #updateShares (): void {
    this.#areSharesCurrent = true
    const known = this.#peers.members().map(({ id, capacity = 1 }) => ({ id, capacity }))
    const capable = capableOf([...known, { id: this.#peers.self, capacity: this.#capacity }], CAPABLE)
    this.#shares.update(this.#groups(), capable.map(({ id }) => id))
  }

  #isReachedBy (id: InstanceId, service: ServiceId): boolean {
    if (id === this.#peers.self) return this.#reach.reaches(service)
    const refusedUntil = this.#unreachedUntil.get(`${this.incarnationOf(id)} ${service}`) ?? 0
    return this.#reach.isReachedBy(id, service) && refusedUntil <= this.#clock.now()
  }

  #reachablePeers (): readonly CoordinatorCandidate[] {
    const now = this.#clock.now()
    return this.#peers.members()
      .filter((member) => !isSilent(member) && !this.#leavingIncarnations.has(member.incarnation))
      .filter(({ id }) => (this.#suspectedUntil.get(id) ?? 0) <= now)
      .map(({ id, capacity = 1 }) => ({ id, capacity }))
  }
}

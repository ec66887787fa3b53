import { hash32 } from '@papayahill/common'
import type { EndpointId, EndpointIncarnation, Incarnation } from '@papayahill/common'
import { LRUCache } from 'lru-cache'
import { SLOT_OWNERS } from './constants.js'
import type { RosterIncarnation, RosterRecord } from './types.js'

/** One endpoint incarnation whose slots are distributed. */
export interface SlottedEndpoint {
  readonly id: EndpointId
  readonly incarnation: EndpointIncarnation
}

interface Ranked {
  readonly instance: RosterIncarnation
  readonly rank: number
}

const ranksBefore = (left: Ranked, right: Ranked): boolean =>
  left.rank > right.rank || (left.rank === right.rank && left.instance.incarnation > right.instance.incarnation)

const MAX_HASHES = 20_000
const hashes = new LRUCache<string, number>({ max: MAX_HASHES })

/** Cached hash of a name. */
const hashOf = (name: string): number => {
  const known = hashes.get(name)
  if (known !== undefined) return known
  const hash = hash32(name)
  hashes.set(name, hash)
  return hash
}

/** Mixes all bits of a 32-bit number: the finalizer of MurmurHash3. */
const mixBits = (value: number): number => {
  let mixed = value
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

const rankOf = (seed: number, instance: RosterIncarnation): number => mixBits(seed ^ hashOf(instance.incarnation))

const rankAll = (instances: readonly RosterIncarnation[], name: string, slot = 0): readonly Ranked[] => {
  const seed = mixBits(hashOf(name) + slot)
  return instances.map((instance) => ({ instance, rank: rankOf(seed, instance) }))
}

/** Instances in the rendezvous order of an endpoint. */
const inRendezvousOrder = <Instance extends RosterIncarnation>(instances: readonly Instance[], endpoint: EndpointId): readonly Instance[] =>
  [...rankAll(instances, endpoint)]
    .sort((left, right) => ranksBefore(left, right) ? -1 : 1)
    .map(({ instance }) => instance as Instance)

/**
 * The instances among which an endpoint's slots are distributed: the first in rendezvous order, so that
 * a cold endpoint concerns only a few of many instances.
 *
 * @example
 * slotCandidates(record.members, endpoint.id).some((instance) => instance.incarnation === self.incarnation)
 */
export const slotCandidates = (instances: readonly RosterIncarnation[], endpoint: EndpointId): readonly RosterIncarnation[] => {
  if (instances.length <= SLOT_OWNERS) return instances
  return inRendezvousOrder(instances, endpoint).slice(0, SLOT_OWNERS)
}

/**
 * Whether an instance is among an endpoint's {@link slotCandidates}, without sorting them all.
 *
 * @example
 * isSlotCandidate(record.members, endpoint.id, self.incarnation)
 */
export const isSlotCandidate = (instances: readonly RosterIncarnation[], endpoint: EndpointId, self: Incarnation): boolean => {
  const own = instances.find((instance) => instance.incarnation === self)
  if (own === undefined) return false
  const [ownRank] = rankAll([own], endpoint)
  const seed = mixBits(hashOf(endpoint))
  let before = 0
  for (const instance of instances) {
    if (ranksBefore({ instance, rank: rankOf(seed, instance) }, ownRank!)) before++
    if (before >= SLOT_OWNERS) return false
  }
  return true
}

/**
 * The one owner of a slot among a set of instances; undefined if the set is empty.
 *
 * @example
 * slotOwner(slotCandidates(record.members, endpoint.id), endpoint, 0)
 */
export const slotOwner = (
  candidates: readonly RosterIncarnation[], endpoint: SlottedEndpoint, slot: number
): RosterIncarnation | undefined => {
  let first: Ranked | undefined
  for (const ranked of rankAll(candidates, endpoint.incarnation, slot)) {
    if (first === undefined || ranksBefore(ranked, first)) first = ranked
  }
  return first?.instance
}

const isPresent = (instance: RosterIncarnation & { readonly departedAt?: number }, version: number): boolean =>
  instance.joinedAt <= version && version < (instance.departedAt ?? Infinity)

/** The instances that were in the roster at a version, as far as the record still contains them. */
export const instancesAt = (record: RosterRecord, version: number): readonly RosterIncarnation[] =>
  [...record.members, ...record.departed].filter((instance) => isPresent(instance, version))

/** `since` and all later versions before the newest at which the roster changed. */
const pastVersions = (record: RosterRecord, since: number): readonly number[] => {
  const versions = new Set<number>([since])
  for (const instance of record.members) versions.add(instance.joinedAt)
  for (const instance of record.departed) versions.add(instance.joinedAt).add(instance.departedAt)
  return [...versions].filter((version) => version >= since && version < record.version)
}

/**
 * Every instance that may have owned a slot at a version from `since` on, before the newest one: versions that
 * this instance never saw are reconstructed from the record.
 *
 * @example
 * earlierOwners(record, endpoint, 0, clearSince).filter((instance) => instance.incarnation !== self.incarnation)
 */
export const earlierOwners = (
  record: RosterRecord, endpoint: SlottedEndpoint, slot: number, since = 0
): readonly RosterIncarnation[] => {
  const owners = new Map<string, RosterIncarnation>()
  const ordered = inRendezvousOrder<RosterIncarnation & { readonly departedAt?: number }>(
    [...record.members, ...record.departed], endpoint.id
  )
  for (const version of pastVersions(record, since)) {
    const candidates = ordered.filter((instance) => isPresent(instance, version)).slice(0, SLOT_OWNERS)
    const owner = slotOwner(candidates, endpoint, slot)
    if (owner !== undefined) owners.set(owner.incarnation, owner)
  }
  return [...owners.values()]
}

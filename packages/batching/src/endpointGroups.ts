import { brand, firstByRendezvous } from '@papayahill/common'
import type { EndpointId, ServiceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { ENDPOINTS_PER_GROUP } from './constants.js'
import type { GroupId, ProfileOf } from './types.js'

const groupCountOf = (endpoints: number): number => Math.max(1, Math.ceil(endpoints / ENDPOINTS_PER_GROUP))

const groupIdOf = (service: ServiceId, group: number): GroupId => brand<GroupId>(`${service}/${group}`)

/**
 * Assigns an endpoint to a group of its service. A service with few endpoints is one group, whose coordinator sees
 * all of them; a large one is split, so that no instance coordinates all of it.
 *
 * @example
 * groupOf(endpoint.service, endpoint.id, directory.count(endpoint.service))
 */
export const groupOf = (service: ServiceId, endpoint: EndpointId, known: number): GroupId => {
  const groups = groupCountOf(known)
  const group = groups === 1 ? 0 : firstByRendezvous(endpoint, Array(groups).keys(), (each) => each) ?? 0
  return groupIdOf(service, group)
}

/**
 * The service of a group.
 *
 * @example
 * serviceOf('encode/0') // 'encode'
 */
export const serviceOf = (group: string): ServiceId => {
  const end = group.lastIndexOf('/')
  return brand<ServiceId>(end < 0 ? group : group.slice(0, end))
}

/** The groups of all endpoints. */
export interface GroupLookup {
  /** The group of an endpoint; undefined where the endpoint is no longer known. */
  groupOf (endpoint: EndpointId): GroupId | undefined
}

/** The part of the endpoint directory that grouping needs. */
export interface KnownEndpoints {
  readonly services: readonly ServiceId[]
  get (id: EndpointId): Endpoint | undefined
  count (service: ServiceId): number
}

/** The group that an endpoint had when its service had so many endpoints. */
interface KnownGroup {
  readonly known: number
  readonly group: GroupId
}

/** Looks groups up in the current endpoint directory, and remembers them: each lookup hashes a name for every group. */
export const groupsIn = (directory: KnownEndpoints): GroupLookup => {
  const remembered = new WeakMap<Endpoint, KnownGroup>()
  return {
    groupOf: (id) => {
      const endpoint = directory.get(id)
      if (endpoint === undefined) return undefined
      const known = directory.count(endpoint.service)
      const last = remembered.get(endpoint)
      if (last?.known === known) return last.group
      const group = groupOf(endpoint.service, id, known)
      remembered.set(endpoint, { known, group })
      return group
    }
  }
}

/**
 * The groups of all services that run batches.
 *
 * @example
 * allGroups(directory, profileOf) // ['encode/0', 'encode/1', 'scan/0']
 */
export const allGroups = (directory: Pick<KnownEndpoints, 'services' | 'count'>, profileOf: ProfileOf): readonly GroupId[] =>
  directory.services.filter((service) => profileOf(service) !== undefined)
    .flatMap((service) => Array.from({ length: groupCountOf(directory.count(service)) }, (_none, group) => groupIdOf(service, group)))
    .sort()

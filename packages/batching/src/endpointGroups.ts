import { brand, firstByRendezvous } from '@papayahill/common'
import type { EndpointId, ServiceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { ENDPOINTS_PER_GROUP } from './constants.js'
import type { GroupId } from './types.js'

/**
 * Assigns an endpoint to a group of its service. A service with few endpoints is one group, whose coordinator sees
 * all of them; a large one is split, so that no instance coordinates all of it.
 *
 * @example
 * groupOf(endpoint.service, endpoint.id, directory.count(endpoint.service))
 */
export const groupOf = (service: ServiceId, endpoint: EndpointId, known: number): GroupId => {
  const groups = Math.max(1, Math.ceil(known / ENDPOINTS_PER_GROUP))
  const group = groups === 1 ? 0 : firstByRendezvous(endpoint, Array(groups).keys(), (each) => each) ?? 0
  return brand<GroupId>(`${service}/${group}`)
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

/** Looks up the group of an endpoint; undefined where the endpoint is no longer known. */
export interface GroupLookup {
  groupOf (endpoint: EndpointId): GroupId | undefined
}

/** The part of the endpoint directory that grouping needs. */
export interface KnownEndpoints {
  get (id: EndpointId): Endpoint | undefined
  count (service: ServiceId): number
}

/** Looks groups up in the current endpoint directory. */
export const groupsIn = (directory: KnownEndpoints): GroupLookup => ({
  groupOf: (id) => {
    const endpoint = directory.get(id)
    return endpoint === undefined ? undefined : groupOf(endpoint.service, id, directory.count(endpoint.service))
  }
})

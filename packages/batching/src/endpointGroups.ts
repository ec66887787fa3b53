import { brand, firstByRendezvous } from '@papayahill/common'
import type { EndpointId, ServiceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { ENDPOINTS_PER_GROUP } from './constants.js'
import type { GroupId } from './types.js'

/**
 * The group of an endpoint among a service's known ones. A service with few endpoints is one group, whose gatherer
 * sees all of them; a large one is parted, so that no instance gathers for all of it.
 *
 * @example
 * groupOf(endpoint.service, endpoint.id, directory.count(endpoint.service))
 */
export const groupOf = (service: ServiceId, endpoint: EndpointId, known: number): GroupId => {
  const groups = Math.max(1, Math.ceil(known / ENDPOINTS_PER_GROUP))
  const group = groups === 1 ? 0 : firstByRendezvous(endpoint, Array(groups).keys(), (each) => each) ?? 0
  return brand<GroupId>(`${service}/${group}`)
}

/** Finds the group of an endpoint; undefined where the endpoint is not known any more. */
export interface GroupLookup {
  groupOf (endpoint: EndpointId): GroupId | undefined
}

/** Endpoints as far as their groups go. */
export interface KnownEndpoints {
  get (id: EndpointId): Endpoint | undefined
  count (service: ServiceId): number
}

/** Groups by what the list of endpoints tells now. */
export const groupsIn = (directory: KnownEndpoints): GroupLookup => ({
  groupOf: (id) => {
    const endpoint = directory.get(id)
    return endpoint === undefined ? undefined : groupOf(endpoint.service, id, directory.count(endpoint.service))
  }
})

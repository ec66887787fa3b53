import { brand, hash32 } from '@papayahill/common'
import type { EndpointId, ServiceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { ENDPOINTS_PER_GROUP } from './constants.js'
import type { GroupId } from './types.js'

/**
 * The group of an endpoint among a service's known ones. A service with few endpoints is one group, whose gatherer
 * sees all of them; a large one is parted, so that no instance gathers for all of it.
 *
 * @example
 * groupOf(endpoint.service, endpoint.id, directory.known(endpoint.service).length)
 */
export const groupOf = (service: ServiceId, endpoint: EndpointId, known: number): GroupId => {
  const groups = Math.max(1, Math.ceil(known / ENDPOINTS_PER_GROUP))
  let best = 0
  let bestRank = -1
  for (let group = 0; group < groups; group++) {
    const rank = groups === 1 ? 0 : hash32(`${endpoint} ${group}`)
    if (rank > bestRank) [best, bestRank] = [group, rank]
  }
  return brand<GroupId>(`${service}/${best}`)
}

/** Finds the group of an endpoint; undefined where the endpoint is not known any more. */
export interface GroupLookup {
  groupOf (endpoint: EndpointId): GroupId | undefined
}

/** Endpoints as far as their groups go. */
export interface KnownEndpoints {
  get (id: EndpointId): Endpoint | undefined
  known (service: ServiceId): readonly Endpoint[]
}

/** Groups by what the list of endpoints tells now. */
export const groupsIn = (directory: KnownEndpoints): GroupLookup => ({
  groupOf: (id) => {
    const endpoint = directory.get(id)
    return endpoint === undefined ? undefined : groupOf(endpoint.service, id, directory.known(endpoint.service).length)
  }
})

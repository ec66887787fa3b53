import { brand } from '@papayahill/common'
import type { EndpointId, ServiceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { ENDPOINTS_PER_GROUP } from './constants.js'
import { EvenShares } from './EvenShares.js'
import type { GroupId, ProfileOf } from './types.js'

/**
 * The groups of a service with so many endpoints: one for a service with few, whose coordinator sees all of them; a large one is
 * split, so that no instance coordinates all of it.
 */
const groupIdsOf = (service: ServiceId, endpoints: number): readonly GroupId[] =>
  Array.from({ length: Math.max(1, Math.ceil(endpoints / ENDPOINTS_PER_GROUP)) }, (_none, group) => brand<GroupId>(`${service}/${group}`))

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
  all (service: ServiceId): readonly Endpoint[]
  onGone (listener: (endpoint: Endpoint) => void): void
}

/** Shares the endpoints of one service out among its groups. */
class ServiceGroups {
  readonly #shares = new EvenShares<EndpointId, GroupId>()
  /** Number of endpoints that are shared out; none after one was gone. */
  #shared = 0

  forget (): void {
    this.#shared = 0
  }

  groupOf (endpoint: Endpoint, directory: KnownEndpoints): GroupId | undefined {
    const { service } = endpoint
    const known = directory.count(service)
    if (known !== this.#shared) this.#shares.update(directory.all(service).map(({ id }) => id), groupIdsOf(service, known))
    this.#shared = known
    return this.#shares.ownerOf(endpoint.id)
  }
}

/**
 * Looks groups up in the current endpoint directory.
 *
 * @example
 * groupsIn(directory).groupOf(endpoint.id)
 */
export const groupsIn = (directory: KnownEndpoints): GroupLookup => {
  const byService = new Map<ServiceId, ServiceGroups>()
  directory.onGone(({ service }) => {
    if (directory.count(service) === 0) byService.delete(service)
    byService.get(service)?.forget()
  })
  const groupsOf = (service: ServiceId): ServiceGroups => {
    const known = byService.get(service) ?? new ServiceGroups()
    byService.set(service, known)
    return known
  }
  return {
    groupOf: (id) => {
      const endpoint = directory.get(id)
      return endpoint === undefined ? undefined : groupsOf(endpoint.service).groupOf(endpoint, directory)
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
    .flatMap((service) => groupIdsOf(service, directory.count(service)))

import { hash32 } from '@papayahill/common'
import type { EndpointId, Incarnation } from '@papayahill/common'
import type { ListedEndpoint } from '@papayahill/stores'
import { WARM_ENDPOINTS } from './constants.js'

/** Share of the watched endpoints that are chosen by nearness; the others are chosen by rendezvous order. */
const NEAR_SHARE = 0.5

export interface WatchChoice {
  readonly self: Incarnation
  /** Endpoints of one service and version that may get work. */
  readonly endpoints: readonly ListedEndpoint[]
  /** Whether this instance may own slots of the endpoint while it is cold. */
  readonly isSlotted: (endpoint: EndpointId) => boolean
  readonly nearness: (endpoint: ListedEndpoint) => number
}

/**
 * The endpoints that one instance keeps connections to and polls reports of: a bounded number by its own rendezvous
 * order, half of them near, and those whose cold slots it may own.
 *
 * @example
 * chooseWatched({ self, endpoints, isSlotted, nearness })
 */
export const chooseWatched = (choice: WatchChoice): ReadonlySet<EndpointId> => {
  const { self, endpoints, isSlotted, nearness } = choice
  if (endpoints.length <= WARM_ENDPOINTS) return new Set(endpoints.map((endpoint) => endpoint.id))
  const ranked = endpoints
    .map((endpoint) => ({ endpoint, near: nearness(endpoint), rank: hash32(`${self} ${endpoint.id}`) }))
    .sort((left, right) => right.rank - left.rank)
  const near = [...ranked].sort((left, right) => left.near - right.near).slice(0, WARM_ENDPOINTS * NEAR_SHARE)
  const chosen = new Set([...near, ...ranked].map(({ endpoint }) => endpoint.id).slice(0, WARM_ENDPOINTS + near.length))
  const bounded = [...chosen].slice(0, WARM_ENDPOINTS)
  const slotted = endpoints.filter((endpoint) => isSlotted(endpoint.id))
  return new Set([...bounded, ...slotted.map((endpoint) => endpoint.id)])
}

/**
 * How many instances are likely to send work to each endpoint of a service and version.
 *
 * @example
 * sharersOf(420, 40) // 63
 */
export const sharersOf = (members: number, endpoints: number): number =>
  Math.max(1, members * Math.min(1, WARM_ENDPOINTS / Math.max(1, endpoints)))

import type { DomainId, Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { DomainEndpoints } from './types.js'

export interface DomainEndpointsInput {
  readonly now: Millis
  /** All endpoints of the service, also those that drain. */
  readonly endpoints: Iterable<Endpoint>
  readonly isDomainOut: (domain: DomainId) => boolean
  readonly concurrencyOf?: ((endpoint: Endpoint) => number) | undefined
  /** Number that was ordered last; undefined where none was. */
  readonly ordered: (domain: DomainId) => number | undefined
  readonly orderedDomains: readonly DomainId[]
  /** The last orders may be older than the ones the platform follows. */
  readonly isOlder: boolean
}

const slotsOf = ({ record }: Endpoint): number => record.slots

/**
 * The endpoints of a service by failure domain. Where nothing was ordered yet, the listed number counts as ordered; where
 * the last orders may be outdated, the larger of the two does, so that a restored store releases nothing.
 *
 * @example
 * domainEndpointsOf({ now, endpoints, isDomainOut, ordered: () => undefined, orderedDomains: [], isOlder: false })
 */
export const domainEndpointsOf = (
  { now, endpoints, isDomainOut, concurrencyOf = slotsOf, ordered, orderedDomains, isOlder }: DomainEndpointsInput
): readonly DomainEndpoints[] => {
  const byDomain = new Map<DomainId, Endpoint[]>(orderedDomains.map((domain) => [domain, []]))
  for (const endpoint of endpoints) {
    const siblings = byDomain.get(endpoint.domain) ?? []
    byDomain.set(endpoint.domain, siblings)
    if (endpoint.isListed) siblings.push(endpoint)
  }
  return [...byDomain].map(([domain, listed]) => {
    const last = ordered(domain) ?? listed.length
    return {
      domain,
      isOut: isDomainOut(domain),
      listed: listed.length,
      cold: listed.filter((endpoint) => endpoint.isCold(now)).length,
      concurrency: listed.reduce((sum, endpoint) => sum + concurrencyOf(endpoint), 0),
      ordered: isOlder ? Math.max(last, listed.length) : last
    }
  })
}

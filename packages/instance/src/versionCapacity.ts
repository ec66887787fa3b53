import type { ServiceId, VersionId } from '@papayahill/common'
import type { EndpointPool } from '@papayahill/endpoints'
import type { VersionCapacity } from '@papayahill/rollout'

/** What the endpoints of one version may take from this instance now, and from those that are warm. */
export const versionCapacity = (pool: EndpointPool) => (service: ServiceId, version: VersionId): VersionCapacity => {
  const own = pool.snapshot().filter(({ endpoint }) => endpoint.service === service && endpoint.version === version)
  const warm = own.filter(({ state }) => state === 'warm')
  const sumLimits = (statuses: typeof own): number => statuses.reduce((sum, { limit }) => sum + limit, 0)
  return { slots: sumLimits(own), warmSlots: sumLimits(warm) }
}
